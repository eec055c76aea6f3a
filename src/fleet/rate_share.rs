//! The part of a rate of requests to one endpoint that a VM may use.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::fleet_view::SHARE_TIMEOUT;
use super::FleetView;
use super::KnownLoad;
use super::VmPhase;
use crate::clock::Monotonic;

/// The silence of all other VMs after which a VM counts as cut off: four rounds of gossip.
const ISOLATION_SILENCE: Duration = Duration::from_millis(1_200);

/// The number of VMs by which one that is cut off divides a rate at least. Those that are cut off
/// from each other, or were started behind a cut, don't know how many they are.
const ISOLATED_SHARERS: usize = 8;

/// The number of VMs by which a rate is divided at least: another VM may have a stale view.
const SHARERS_MIN: usize = 2;

/// The number of VMs by which each VM divides a rate that all share without knowing each other: more than
/// the largest region has, as their requests are not spread evenly over time.
const REGION_VMS_MAX: usize = 96;

/// The number of VMs that send to one endpoint, if a VM knows all of its region: with two, the endpoint still
/// gets requests when one of them has a stale view of the fleet.
const SENDERS: usize = 2;

/// The multiplier of Fibonacci hashing (Knuth, The Art of Computer Programming, 6.4), 2^64 divided by the
/// golden ratio: the products with consecutive numbers are spread evenly.
const FIBONACCI_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Which VMs of a region share a rate of requests to one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateSharers {
    /// Two VMs if the live ones account for the load of the endpoints, else every VM, at the part that it
    /// has in the largest region.
    Every,
    /// So many VMs at most, chosen among those that are known.
    Selected(usize),
}

/// The part of a rate of requests to one endpoint that a VM may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateShare {
    /// The number of VMs that divide the rate.
    pub vms: usize,
    /// For VMs that need not know each other, the part of the interval between two requests of this VM
    /// that has passed when the rate begins, from 0 to 1.
    pub phase: Option<f64>,
}

impl RateShare {
    /// Returns an equal share of VMs that know each other.
    pub const fn among(vms: usize) -> Self {
        Self { vms, phase: None }
    }
}

impl FleetView {
    /// Returns the number of VMs of the region that are known, even if silent, the local one included.
    pub fn known_in_region_count(&self) -> usize {
        let region = self.local_region();
        self.known()
            .filter(|row| self.region(row) == region)
            .count()
            + 1
    }

    /// Returns the part of the local VM of a rate; `None` if it has none.
    ///
    /// `load` is that of the endpoint's service, if it is known.
    pub fn rate_share(
        &self,
        now: Monotonic,
        rendezvous_key: u64,
        sharers: RateSharers,
        load: Option<KnownLoad>,
    ) -> Option<RateShare> {
        let phase = Some(phase(rendezvous_key, self.local_row.ip));
        match (sharers, load) {
            (RateSharers::Every, Some(load)) if load.is_accounted_for() => {
                let vms = self.selected_sharers(now, rendezvous_key, SENDERS)?;
                Some(RateShare::among(vms))
            }
            (RateSharers::Every, _) if self.local_row.phase == VmPhase::Leaving => None,
            (RateSharers::Every, _) => Some(RateShare {
                vms: self.known_in_region_count().max(REGION_VMS_MAX),
                phase,
            }),
            (RateSharers::Selected(count), Some(load)) if load.has_unknown() => Some(RateShare {
                vms: load.with_unknown(self.selected_sharers(now, rendezvous_key, count)?),
                phase,
            }),
            (RateSharers::Selected(count), _) => {
                let vms = self.selected_sharers(now, rendezvous_key, count)?;
                Some(RateShare::among(vms))
            }
        }
    }

    /// Returns by how many VMs a rate is divided that `count` VMs of the region share; `None` if the
    /// local VM is not among them.
    fn selected_sharers(&self, now: Monotonic, rendezvous_key: u64, count: usize) -> Option<usize> {
        if !self.is_selected(now, rendezvous_key, count) {
            return None;
        }
        if self.is_isolated(now) {
            return Some(count.max(ISOLATED_SHARERS));
        }
        Some(count.min(self.known_in_region_count()).max(SHARERS_MIN))
    }

    /// Returns whether the local VM hears no other and may be one of several that don't.
    fn is_isolated(&self, now: Monotonic) -> bool {
        let heard_at = self.others.values().map(|vm| vm.last_beat_at).max();
        let silence = now.since(heard_at.unwrap_or_default());
        (ISOLATION_SILENCE..SHARE_TIMEOUT).contains(&silence)
    }
}

/// Returns how far a VM is in its interval when a rate begins: the phases of VMs with consecutive addresses
/// are spread evenly over the interval.
fn phase(rendezvous_key: u64, ip: Ipv4Addr) -> f64 {
    let product = u64::from(ip.to_bits()).wrapping_mul(FIBONACCI_MULTIPLIER);
    product.wrapping_add(rendezvous_key) as f64 / 2.0_f64.powi(64)
}
