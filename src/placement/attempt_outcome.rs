//! The result of an attempt at an endpoint.

use std::time::Duration;

/// The result of an attempt, as far as it bears on the health of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The head of an answer that is no server error was received.
    Answered {
        /// The time from sending the request to receiving the head.
        latency: Duration,
    },
    /// The endpoint refused the request without running it.
    Refused,
    /// The endpoint answered with a server error or an unusable answer.
    Failed,
    /// Nothing arrived in time; the endpoint may be sound and go on.
    Silent,
    /// The connection could not be opened in time, or broke.
    Unreachable,
    /// The connection was refused: no process listens at the address.
    ConnectionRefused,
}
