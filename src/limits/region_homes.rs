//! What one VM knows about the homes of an account in each region.

use slotmap::SecondaryMap;

use crate::catalog::RegionKey;
use crate::catalog::VmKey;
use crate::clock::Monotonic;

/// What one VM knows about the homes of an account in each region.
#[derive(Debug, Default)]
pub(super) struct RegionHomes {
    regions: SecondaryMap<RegionKey, RegionHome>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RegionHome {
    home: Option<VmKey>,
    retry_at: Monotonic,
}

impl RegionHomes {
    /// Returns the home that last answered.
    pub(super) fn home(&self, region: RegionKey) -> Option<VmKey> {
        self.regions.get(region)?.home
    }

    /// Returns when the region may be asked again.
    pub(super) fn retry_at(&self, region: RegionKey) -> Monotonic {
        self.regions
            .get(region)
            .map_or(Monotonic::ZERO, |region| region.retry_at)
    }

    /// Tells whether the region may be asked.
    pub(super) fn is_available(&self, now: Monotonic, region: RegionKey) -> bool {
        now >= self.retry_at(region)
    }

    /// Notes the home, and when to ask again; `None` leaves that time as it was.
    pub(super) fn put(
        &mut self,
        region: RegionKey,
        home: Option<VmKey>,
        retry_at: Option<Monotonic>,
    ) {
        let retry_at = retry_at.unwrap_or_else(|| self.retry_at(region));
        self.regions.insert(region, RegionHome { home, retry_at });
    }
}
