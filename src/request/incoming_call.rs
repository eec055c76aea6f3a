//! A call as received from a caller, before its account and route are resolved.

use super::CallBody;
use super::IdempotencyKey;
use super::RequestId;
use crate::catalog::KeyDigest;
use crate::catalog::Name;
use crate::clock::Monotonic;

/// A call as received from a caller, before its account and route are resolved.
#[derive(Clone, Debug)]
pub struct IncomingCall {
    /// The identifier of this submission.
    pub id: RequestId,
    /// The digest of the caller's key; `None` if the call came without one.
    pub key_digest: Option<KeyDigest>,
    /// The model or service that the caller addresses.
    pub target: CallTarget,
    /// The content that is sent to the endpoint.
    pub body: CallBody,
    /// The caller's idempotency key; the same for all submissions of the call.
    pub idempotency_key: Option<IdempotencyKey>,
    /// When the call arrived.
    pub received_at: Monotonic,
}

/// The model or service that a caller addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallTarget {
    /// A model, by name.
    Model(Name),
    /// A plain service, by the path of the request.
    Path(String),
}
