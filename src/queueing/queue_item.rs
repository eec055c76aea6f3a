//! Requests in the queue.

use crate::catalog::ClientAccountKey;
use crate::catalog::KeyDigest;
use crate::catalog::RouteKey;
use crate::catalog::WorkClass;
use crate::clock::Monotonic;

/// A request that waits for a slot at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueItem<T> {
    /// The client account; requests of open routes without a key share one place.
    pub client_account: Option<ClientAccountKey>,
    /// The digest of the key that came with the request.
    pub key_digest: Option<KeyDigest>,
    /// The account's weight, at least 1.
    pub weight: u32,
    /// The class of work.
    pub class: WorkClass,
    /// The route.
    pub route: RouteKey,
    /// The tokens reserved for the request.
    pub cost_tokens: u64,
    /// The latest start that keeps the deadline and the limit on the time to the first event.
    pub start_by: Monotonic,
    /// What the owner of the queue keeps with the request.
    pub payload: T,
}

/// The place of a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    pub(super) slot: usize,
    pub(super) sequence: u64,
}
