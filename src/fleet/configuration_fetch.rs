//! When a VM fetches a newer configuration, and from which peers.

use std::time::Duration;

use crate::clock::Monotonic;

/// How long a VM waits for a peer of its zone to have the configuration before it fetches from
/// another zone of the region.
const OTHER_ZONE_DELAY: Duration = Duration::from_millis(900);

/// The same for fetches from another region, by the VM that fetches for its zone.
const OTHER_REGION_DELAY: Duration = Duration::from_millis(600);

/// How far away a peer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerDistance {
    /// It is in the same availability zone.
    SameZone,
    /// It is in another zone of the region.
    SameRegion,
    /// It is in another region.
    OtherRegion,
}

/// Decides when to fetch a newer configuration from a peer.
///
/// It answers large configurations in quick succession, which saturate the links of small VMs if
/// each VM fetches each of them from every peer that has it. One fetch runs at a time. One VM of a
/// zone fetches from other zones, the others from the VMs of their zone, unless those take too long.
#[derive(Debug, Default)]
pub struct ConfigurationFetch {
    behind_since: Option<Monotonic>,
    is_running: bool,
}

impl ConfigurationFetch {
    /// Returns whether to fetch from a peer that has a newer configuration, and if so records that
    /// the fetch has started.
    ///
    /// `fetches_for_zone` is whether this VM is the one of its zone that fetches from other zones.
    pub fn try_start(
        &mut self,
        now: Monotonic,
        distance: PeerDistance,
        fetches_for_zone: bool,
    ) -> bool {
        let behind_since = *self.behind_since.get_or_insert(now);
        let delay = match (distance, fetches_for_zone) {
            (PeerDistance::SameZone, _) | (PeerDistance::SameRegion, true) => Duration::ZERO,
            (PeerDistance::SameRegion, false) => OTHER_ZONE_DELAY,
            (PeerDistance::OtherRegion, true) => OTHER_REGION_DELAY,
            (PeerDistance::OtherRegion, false) => OTHER_ZONE_DELAY + OTHER_REGION_DELAY,
        };
        if self.is_running || now.since(behind_since) < delay {
            return false;
        }
        self.is_running = true;
        true
    }

    /// Records that a fetch has ended; after a success the delays start anew.
    pub fn on_ended(&mut self, is_success: bool) {
        self.is_running = false;
        if is_success {
            self.behind_since = None;
        }
    }
}
