//! What follows a failed attempt.

use crate::errors::GatewayError;

/// What follows a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The call is sent anew to another endpoint.
    RetryElsewhere,
    /// The answer is resumed on a new connection, from this chunk on.
    ResumeFrom(u64),
    /// The call fails with this error.
    Fail(GatewayError),
}
