//! A failed attempt, as the retry policy sees it.

use std::time::Duration;

use crate::catalog::Repeatability;
use crate::errors::GatewayError;

/// A failed attempt, as the retry policy sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// The error, with whether the request ran.
    pub error: GatewayError,
    /// Whether the call may be sent more than once.
    pub repeatability: Repeatability,
    /// Whether the endpoint can resume an answer from an offset.
    pub can_resume: bool,
    /// The chunks that were passed on to the caller.
    pub chunks_passed: u64,
    /// The attempts so far, this one included.
    pub attempts: u32,
    /// The time left until the deadline.
    pub remaining: Duration,
    /// The expected time of a further attempt to its first event.
    pub expected_first_event: Duration,
}
