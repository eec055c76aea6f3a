//! A call whose key and route are resolved.

use std::time::Duration;

use super::CallBody;
use super::IdempotencyKey;
use super::RequestId;
use super::Visited;
use crate::catalog::ClientAccountKey;
use crate::catalog::KeyDigest;
use crate::catalog::Repeatability;
use crate::catalog::RouteKey;

/// A call whose key and route are resolved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The identifier of this submission.
    pub id: RequestId,
    /// The digest of the caller's key; `None` on an open route called without one.
    pub key_digest: Option<KeyDigest>,
    /// The client account; `None` on an open route called without a key.
    pub client_account: Option<ClientAccountKey>,
    /// The route.
    pub route: RouteKey,
    /// Whether this call may be sent more than once.
    pub repeatability: Repeatability,
    /// What goes to the endpoint.
    pub body: CallBody,
    /// The caller's name for this call and its repeats.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The tokens reserved for it.
    pub reserved_tokens: u64,
    /// The time left until the deadline.
    pub remaining: Duration,
    /// The VMs and regions that the request has passed.
    pub visited: Visited,
}
