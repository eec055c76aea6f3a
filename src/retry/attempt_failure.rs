//! The input to a retry decision.

use std::time::Duration;

use crate::catalog::Repeatability;
use crate::errors::GatewayError;

/// A failed attempt: the input to a retry decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// The error, including whether the request ran.
    pub error: GatewayError,
    /// Whether the call may be sent more than once.
    pub repeatability: Repeatability,
    /// Whether the endpoint can resume an answer from an offset.
    pub can_resume: bool,
    /// The number of chunks already sent to the caller.
    pub chunks_passed: u64,
    /// The number of attempts so far, including this one.
    pub attempts: u32,
    /// The time left until the deadline.
    pub remaining: Duration,
    /// The expected time from a retry to its first event.
    pub expected_first_event: Duration,
}
