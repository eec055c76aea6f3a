//! A call to an endpoint.

use std::time::Duration;

use crate::catalog::WorkClass;
use crate::request::CallBody;
use crate::request::RequestId;

/// A call to an endpoint; it never holds the caller's API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointCall {
    /// The identifier of the request, which every event of the answer repeats.
    pub request_id: RequestId,
    /// The request to send.
    pub body: CallBody,
    /// The class of work, sent as the engine's priority.
    pub class: WorkClass,
    /// The offset of the first chunk to send; more than 0 resumes an answer.
    pub resume_offset: u64,
    /// The longest time to the first event.
    pub first_event_timeout: Duration,
    /// The longest time between two events.
    pub silence_timeout: Duration,
    /// The time left until the deadline of the request.
    pub remaining: Duration,
}
