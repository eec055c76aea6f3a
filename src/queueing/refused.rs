//! Requests that the queue does not take.

use std::time::Duration;

use thiserror::Error;

use crate::errors::ErrorKind;
use crate::errors::GatewayError;

/// Why the queue does not take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusedReason {
    /// The account has as many requests in the queue as it may.
    AccountFull,
    /// The queue of the class is full.
    ClassFull,
    /// The request would not start in time.
    TooLate,
}

/// The queue does not take a request; it did not run.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the request cannot start in time: {reason:?}")]
pub struct Refused {
    /// Why.
    pub reason: RefusedReason,
    /// When the same request is expected to be taken.
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
