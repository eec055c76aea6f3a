//! Requests that the queue refuses.

use std::time::Duration;

use thiserror::Error;

use crate::errors::ErrorKind;
use crate::errors::GatewayError;

/// Why the queue refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusedReason {
    /// The account has as many requests in the queue as allowed.
    AccountFull,
    /// The queue of the class is full.
    ClassFull,
    /// The request is not expected to start in time.
    TooLate,
}

/// A refusal by the queue; the request did not run.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the queue refused the request: {reason:?}")]
pub struct Refused {
    /// The reason, which decides the kind of the error.
    pub reason: RefusedReason,
    /// The time after which the same request is expected to be accepted.
    pub retry_after: Duration,
}

impl From<Refused> for GatewayError {
    fn from(refused: Refused) -> Self {
        let kind = match refused.reason {
            RefusedReason::AccountFull | RefusedReason::ClassFull => ErrorKind::Overloaded,
            RefusedReason::TooLate => ErrorKind::DeadlineUnreachable,
        };
        Self::new(kind, refused.to_string()).with_retry_after(refused.retry_after)
    }
}
