//! Requests in the queue.

use crate::catalog::ClientAccountKey;
use crate::catalog::KeyDigest;
use crate::catalog::RouteKey;
use crate::catalog::WorkClass;
use crate::clock::Monotonic;

/// A request that waits for a slot at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueItem<T> {
    /// The client account; `None` for requests without a key, which share one queue.
    pub client_account: Option<ClientAccountKey>,
    /// The digest of the API key of the request.
    pub key_digest: Option<KeyDigest>,
    /// The weight of the account; 0 counts as 1.
    pub weight: u32,
    /// The class of work, which selects the queue.
    pub class: WorkClass,
    /// The route; requests of one route are blocked together.
    pub route: RouteKey,
    /// The tokens reserved for the request.
    pub cost_tokens: u64,
    /// The latest start that keeps the deadline and the limit on the time to the first event.
    pub start_by: Monotonic,
    /// The data that the owner of the queue keeps with the request.
    pub payload: T,
}

/// The handle of a request in the queue, for its removal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    pub(super) slot: usize,
    pub(super) sequence: u64,
}
