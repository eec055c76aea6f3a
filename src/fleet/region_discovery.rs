//! Whether a VM has found the other VMs of its region.

use std::time::Duration;

use crate::clock::Monotonic;

/// The time without a newly found VM after which the discovery counts as complete: three rounds of
/// gossip.
const QUIET: Duration = Duration::from_millis(900);

/// The time after which a VM that found no other counts as the only one of its region.
const ALONE_AFTER: Duration = Duration::from_millis(2_000);

/// The time after which the discovery counts as complete although VMs are still being found.
const DURATION_MAX: Duration = Duration::from_millis(3_000);

/// The discovery of the other VMs of a VM's region after its start.
///
/// Until it is complete, the VM can't tell its rank among the VMs of the region.
#[derive(Debug)]
pub(super) struct RegionDiscovery {
    started_at: Monotonic,
    found_at: Option<Monotonic>,
}

impl RegionDiscovery {
    /// Starts a discovery.
    pub(super) const fn new(now: Monotonic) -> Self {
        Self {
            started_at: now,
            found_at: None,
        }
    }

    /// Records that a VM of the region was found.
    pub(super) const fn on_found(&mut self, now: Monotonic) {
        self.found_at = Some(now);
    }

    /// Returns whether the known VMs of the region are likely to be all.
    pub(super) fn is_complete(&self, now: Monotonic) -> bool {
        let age = now.since(self.started_at);
        match self.found_at {
            None => age >= ALONE_AFTER,
            Some(found_at) => now.since(found_at) >= QUIET || age >= DURATION_MAX,
        }
    }
}
