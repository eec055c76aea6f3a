//! A call as it comes from a caller, before anything is looked up.

use super::CallBody;
use super::IdempotencyKey;
use super::RequestId;
use crate::catalog::KeyDigest;
use crate::catalog::Name;
use crate::clock::Monotonic;

/// A call as it comes from a caller, before anything is looked up.
#[derive(Clone, Debug)]
pub struct IncomingCall {
    /// The identifier of this submission.
    pub id: RequestId,
    /// The digest of the key that came with it.
    pub key_digest: Option<KeyDigest>,
    /// What the caller asks for.
    pub target: CallTarget,
    /// What goes to the endpoint.
    pub body: CallBody,
    /// The caller's name for this call and its repeats.
    pub idempotency_key: Option<IdempotencyKey>,
    /// When the call arrived.
    pub received_at: Monotonic,
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallTarget {
    /// A model by name.
    Model(Name),
    /// A plain service by the path of the request.
    Path(String),
}
