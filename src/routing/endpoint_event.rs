//! Failures at an endpoint, and the circuit breaker events that follow from them.

/// How a request at an endpoint failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointFailure {
    /// The endpoint could not be reached, or the answer broke off.
    Broken,
    /// The answer timed out: no event arrived in time.
    Silent,
    /// The endpoint refused the request as not run.
    Refused,
    /// The request ended for a reason unrelated to the endpoint's health.
    Unrelated,
}

/// The opening or closing of an endpoint's circuit breaker, for the audit trail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointEvent {
    /// The breaker opened: the endpoint gets no new requests until the cool-down ends.
    TakenOut {
        /// The consecutive failures that opened the breaker.
        consecutive_failures: u32,
        /// The length of the cool-down, in milliseconds.
        cool_down_ms: u64,
    },
    /// The breaker closed after a successful request: the endpoint gets requests again.
    TakenBack,
}
