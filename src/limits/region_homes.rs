//! The known homes of an account in each region, and when they may be drawn from again.

use slotmap::SecondaryMap;

use crate::catalog::RegionKey;
use crate::catalog::VmKey;
use crate::clock::Monotonic;

/// The known homes of an account in each region, and when they may be drawn from again.
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
    /// Returns the home that answered the last draw; `None` if that draw timed out.
    pub(super) fn home(&self, region: RegionKey) -> Option<VmKey> {
        self.regions.get(region)?.home
    }

    /// Returns the time before which no draw is sent to the region.
    pub(super) fn retry_at(&self, region: RegionKey) -> Monotonic {
        self.regions
            .get(region)
            .map_or(Monotonic::ZERO, |region| region.retry_at)
    }

    /// Returns whether a draw may be sent to the region.
    pub(super) fn is_available(&self, now: Monotonic, region: RegionKey) -> bool {
        now >= self.retry_at(region)
    }

    /// Records the home and the time of the next draw; `None` leaves that time unchanged.
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
