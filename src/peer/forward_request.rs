//! A call that one VM forwards to another.

use crate::catalog::EndpointKey;
use crate::request::Call;

/// A call that one VM forwards to another, which serves it or refuses it as not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardRequest {
    /// The call; its remaining time counts from the moment it is sent.
    pub call: Call,
    /// The endpoint that the sender would choose; the receiver may choose another.
    pub preferred_endpoint: Option<EndpointKey>,
}
