//! The regions that may serve a route or a client account.

use super::RegionKey;

/// The regions that may serve a route or a client account.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum HomeRegions {
    /// Every region.
    #[default]
    Any,
    /// These only. Regions that this VM does not know are missing, so the list may be empty.
    Only(Vec<RegionKey>),
}

impl HomeRegions {
    /// Returns whether a region may serve.
    pub fn allows(&self, region: RegionKey) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => regions.contains(&region),
        }
    }
}
