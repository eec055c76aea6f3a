//! What an endpoint is asked to do.

use std::time::Duration;

use crate::catalog::WorkClass;
use crate::request::CallBody;
use crate::request::RequestId;

/// What an endpoint is asked to do; it holds no caller's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointCall {
    /// The identifier that every event of the answer repeats.
    pub request_id: RequestId,
    /// What goes to the endpoint.
    pub body: CallBody,
    /// The class of work, sent as the engine's priority.
    pub class: WorkClass,
    /// The first chunk wanted; more than 0 resumes an answer.
    pub resume_offset: u64,
    /// The longest time to the first event.
    pub first_event_timeout: Duration,
    /// The longest time between two events.
    pub silence_timeout: Duration,
    /// The time left until the deadline.
    pub remaining: Duration,
}
