//! The order in which callers should use the VMs.

use std::time::Duration;

use super::Liveness;
use super::MembershipView;
use super::VmView;
use crate::catalog::Catalog;
use crate::catalog::RegionKey;
use crate::catalog::VmKey;

/// The load from which a VM comes after all less loaded ones of any region.
const HIGH_LOAD_PERMILLE: u32 = 900;

/// The step to which loads are rounded down for comparison; smaller differences are left to the
/// tie-break.
const LOAD_STEP_PERMILLE: u32 = 100;

/// The VMs that callers should use, best first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryRanking {
    /// The VMs.
    pub vms: Vec<VmKey>,
    /// The time for which callers may cache the list.
    pub time_to_live: Duration,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_not_alive: bool,
    is_highly_loaded: bool,
    one_way_us: u64,
    load_step: u32,
    tie: u64,
}

impl EntryRanking {
    /// Ranks the VMs for a caller in the region of the VM that holds `view`.
    ///
    /// Dead and leaving VMs are left out; suspected ones and those of unknown liveness come last.
    /// `tie` differs between callers and spreads them over equally ranked VMs.
    pub fn new(
        catalog: &Catalog,
        view: &MembershipView,
        allowed_regions: Option<&[RegionKey]>,
        tie: u64,
        time_to_live: Duration,
    ) -> Self {
        let local_region = catalog.vms.get(view.local_vm).map(|vm| vm.region);
        let mut ranked: Vec<(Rank, VmKey)> = catalog
            .vms
            .iter()
            .filter(|(_, vm)| allowed_regions.is_none_or(|regions| regions.contains(&vm.region)))
            .filter_map(|(key, vm)| {
                let seen = view.vms.get(key).filter(|seen| is_candidate(seen))?;
                let one_way_us =
                    local_region.map_or(0, |local| distance_us(catalog, local, vm.region));
                let tie = super::rendezvous_score(tie, &vm.name);
                Some((rank(seen, one_way_us, tie), key))
            })
            .collect();
        ranked.sort();
        Self {
            vms: ranked.into_iter().map(|(_, key)| key).collect(),
            time_to_live,
        }
    }
}

fn is_candidate(seen: &VmView) -> bool {
    seen.liveness != Liveness::Dead && !seen.is_leaving
}

fn rank(seen: &VmView, one_way_us: u64, tie: u64) -> Rank {
    Rank {
        is_not_alive: seen.liveness != Liveness::Alive,
        is_highly_loaded: seen.load_permille >= HIGH_LOAD_PERMILLE,
        one_way_us,
        load_step: seen.load_permille / LOAD_STEP_PERMILLE,
        tie,
    }
}

fn distance_us(catalog: &Catalog, from: RegionKey, to: RegionKey) -> u64 {
    if from == to {
        return 0;
    }
    catalog
        .link(from, to)
        .map_or(u64::MAX, |link| link.one_way_us)
}
