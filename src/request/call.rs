//! A call with its client account and route resolved.

use std::time::Duration;

use super::CallBody;
use super::IdempotencyKey;
use super::RequestId;
use super::Visited;
use crate::catalog::ClientAccountKey;
use crate::catalog::KeyDigest;
use crate::catalog::Repeatability;
use crate::catalog::RouteKey;

/// A call with its client account and route resolved.
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
    /// Whether the call may be sent to an endpoint more than once.
    pub repeatability: Repeatability,
    /// The content that is sent to the endpoint.
    pub body: CallBody,
    /// The caller's idempotency key; the same for all submissions of the call.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The tokens reserved for the call.
    pub reserved_tokens: u64,
    /// The time left until the deadline.
    pub remaining: Duration,
    /// The VMs and regions that have forwarded the call.
    pub visited: Visited,
}
