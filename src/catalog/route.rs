//! Routes: the models and plain services that callers can address.

use super::Name;

/// A model or a plain service that callers can address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name; the model name for [`RouteKind::Model`].
    pub name: Name,
    /// Whether the route leads to a model or to a plain service.
    pub kind: RouteKind,
    /// Whether callers need no API key.
    pub is_open: bool,
    /// The work class of the requests.
    pub class: WorkClass,
    /// Whether a call may be sent to an endpoint more than once.
    pub repeatability: Repeatability,
    /// The longest time from admission to the end of the answer, in milliseconds.
    pub deadline_ms: u64,
    /// The longest time to the first event of the answer, in milliseconds.
    pub first_event_timeout_ms: u64,
    /// The longest time between two events of an answer, in milliseconds.
    pub silence_timeout_ms: u64,
    /// The longest answer that a request may ask for, in tokens.
    pub answer_max_tokens: u64,
    /// The tokens that one call of a plain service costs.
    pub call_cost_tokens: u64,
}

/// The target of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A model, addressed by its name.
    Model,
    /// A plain service, addressed by its path prefix.
    Service {
        /// The prefix, with a leading and no trailing slash.
        path_prefix: String,
    },
}

/// A work class, scheduled separately from the other classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WorkClass {
    /// Short requests that a person waits for.
    Interactive,
    /// Long-running requests.
    Long,
}

/// Whether a call may be sent to an endpoint more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Repeatability {
    /// Sending the call more than once is harmless.
    Idempotent,
    /// The call must run at most once.
    NonIdempotent,
}
