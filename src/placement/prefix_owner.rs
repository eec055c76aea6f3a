//! The preferred endpoint of a shared prompt prefix.

use super::EndpointKey;
use crate::deployment::RegionKey;

/// The endpoint that requests with a shared prompt prefix prefer; all VMs agree on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrefixOwner {
    /// An endpoint of the local region.
    Local(EndpointKey),
    /// An endpoint of a remote region.
    Remote(RegionKey),
}

impl PrefixOwner {
    /// Returns the endpoint if it is in the local region.
    pub const fn local(self) -> Option<EndpointKey> {
        match self {
            Self::Local(key) => Some(key),
            Self::Remote(_) => None,
        }
    }
}
