//! Routes: what callers ask for.

use super::Name;

/// A model or a plain service that callers can ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name; the model name for [`RouteKind::Model`].
    pub name: Name,
    /// What the route leads to.
    pub kind: RouteKind,
    /// Whether callers need no key.
    pub is_open: bool,
    /// The class of work that requests belong to.
    pub class: WorkClass,
    /// Whether a call may be sent again.
    pub repeatability: Repeatability,
    /// The longest time from admission to the whole answer, in milliseconds.
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

/// What a route leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A model, asked for by name.
    Model,
    /// A plain service, asked for by its path prefix.
    Service {
        /// The prefix, with a leading and no trailing slash.
        path_prefix: String,
    },
}

/// A class of work, scheduled apart from the other classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WorkClass {
    /// Short work that a person waits for.
    Interactive,
    /// Long work.
    Long,
}

/// Whether a call may be sent to an endpoint more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Repeatability {
    /// A repeat does no harm.
    Idempotent,
    /// The call runs at most once.
    NonIdempotent,
}
