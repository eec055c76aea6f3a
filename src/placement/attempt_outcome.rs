//! How an attempt at an endpoint went.

use std::time::Duration;

/// How an attempt at an endpoint went, as far as it tells of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The head of a good answer came.
    Answered {
        /// How long it took.
        latency: Duration,
    },
    /// The endpoint refused the request as not run.
    Refused,
    /// The endpoint gave an error of its own.
    Failed,
    /// No connection could be made, or it broke, or nothing came in time.
    Unreachable,
}
