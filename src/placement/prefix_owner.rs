//! Which endpoint keeps a shared part of prompts.

use super::EndpointKey;
use crate::deployment::RegionKey;

/// The endpoint that keeps a shared part of prompts, for all VMs the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrefixOwner {
    /// An endpoint of the own region.
    Local(EndpointKey),
    /// An endpoint of another region.
    Remote(RegionKey),
}

impl PrefixOwner {
    /// Returns the endpoint if it is of the own region.
    pub const fn local(self) -> Option<EndpointKey> {
        match self {
            Self::Local(key) => Some(key),
            Self::Remote(_) => None,
        }
    }
}
