//! The result of a retry decision.

use crate::errors::GatewayError;

/// The action after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The call is sent from the start to another endpoint.
    RetryElsewhere,
    /// The answer is resumed on a new connection, from the chunk with this offset.
    ResumeFrom(u64),
    /// The call fails with this error.
    Fail(GatewayError),
}
