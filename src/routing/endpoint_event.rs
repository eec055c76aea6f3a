//! What happens to an endpoint's place in the choice, for the audit trail.

/// How a request at an endpoint failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointFailure {
    /// The endpoint could not be reached, or broke off.
    Broken,
    /// The endpoint fell silent.
    Silent,
    /// The endpoint refused the request as not run.
    Refused,
    /// The request ended for a reason that says nothing about the endpoint.
    Unrelated,
}

/// A change of an endpoint's place in the choice, for the audit trail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointEvent {
    /// The endpoint gets no new work for a time.
    TakenOut {
        /// The failures in a row that led to it.
        consecutive_failures: u32,
        /// The length of the cool-down, in milliseconds.
        cool_down_ms: u64,
    },
    /// A probe succeeded, and the endpoint gets work again.
    TakenBack,
}
