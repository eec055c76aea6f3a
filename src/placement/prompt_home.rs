//! Which endpoint keeps a shared part of prompts.

use super::EndpointKey;
use crate::deployment::RegionKey;

/// The endpoint that keeps a shared part of prompts, for all VMs the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptHome {
    /// An endpoint of the own region.
    Own(EndpointKey),
    /// An endpoint of another region.
    Other(RegionKey),
}

impl PromptHome {
    /// Returns the endpoint if it is of the own region.
    pub const fn own(self) -> Option<EndpointKey> {
        match self {
            Self::Own(key) => Some(key),
            Self::Other(_) => None,
        }
    }
}
