//! Chooses the peers that a VM exchanges its configuration with.

use rand::seq::IndexedRandom;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::catalog::Catalog;
use crate::catalog::Name;
use crate::catalog::RegionKey;
use crate::catalog::VmKey;
use crate::membership::rank_vms;
use crate::membership::Liveness;
use crate::membership::MembershipView;

const WATCHERS_PER_REGION: usize = 2;
const BRIDGES_PER_REGION: usize = 2;

/// One VM's view of the fleet, with which it chooses peers and determines its own roles.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerChoice<'a> {
    pub(super) local_vm: VmKey,
    pub(super) local_region: RegionKey,
    pub(super) catalog: &'a Catalog,
    pub(super) view: &'a MembershipView,
}

impl<'a> PeerChoice<'a> {
    pub(super) fn new(
        local_vm: VmKey,
        catalog: &'a Catalog,
        view: &'a MembershipView,
    ) -> Option<Self> {
        let local_region = catalog.vms.get(local_vm)?.region;
        Some(Self {
            local_vm,
            local_region,
            catalog,
            view,
        })
    }

    /// Returns whether the local VM should watch the service.
    pub(super) fn is_watcher(&self) -> bool {
        self.is_selected(
            "configuration watch",
            self.local_region,
            WATCHERS_PER_REGION,
        )
    }

    /// Returns whether the local VM should send to other regions.
    pub(super) fn is_bridge(&self) -> bool {
        self.is_selected(
            "configuration bridge",
            self.local_region,
            BRIDGES_PER_REGION,
        )
    }

    /// Chooses peers in the local region.
    pub(super) fn in_local_region(&self, count: usize, rng: &mut impl Rng) -> Vec<VmKey> {
        let candidates = self.reachable_in(self.local_region);
        candidates.sample(rng, count).copied().collect()
    }

    /// Chooses one bridge VM in each of `count` other regions.
    pub(super) fn in_other_regions(&self, count: usize, rng: &mut impl Rng) -> Vec<VmKey> {
        let regions: Vec<RegionKey> = self
            .catalog
            .regions
            .keys()
            .filter(|region| *region != self.local_region)
            .collect();
        let chosen: Vec<RegionKey> = regions.sample(rng, count).copied().collect();
        chosen
            .into_iter()
            .filter_map(|region| self.bridges(region).choose(rng).copied())
            .collect()
    }

    /// Chooses the peers that a booting VM queries: half of them in its region, the rest from the
    /// whole fleet.
    pub(super) fn for_boot(&self, count: usize, rng: &mut impl Rng) -> Vec<VmKey> {
        let in_local_region = self.in_local_region(count.div_ceil(2), rng);
        let others: Vec<VmKey> = self
            .catalog
            .vms
            .keys()
            .filter(|vm| *vm != self.local_vm && !in_local_region.contains(vm))
            .collect();
        let rest = count - in_local_region.len();
        let others: Vec<VmKey> = others.sample(rng, rest).copied().collect();
        in_local_region.into_iter().chain(others).collect()
    }

    fn is_selected(&self, role: &str, region: RegionKey, count: usize) -> bool {
        let mut candidates = self.reachable_in(region);
        candidates.push(self.local_vm);
        self.ranked(role, region, &candidates)
            .into_iter()
            .take(count)
            .any(|vm| vm == self.local_vm)
    }

    fn bridges(&self, region: RegionKey) -> Vec<VmKey> {
        let candidates = self.reachable_in(region);
        let mut ranked = self.ranked("configuration bridge", region, &candidates);
        ranked.truncate(BRIDGES_PER_REGION);
        ranked
    }

    fn ranked(&self, role: &str, region: RegionKey, candidates: &[VmKey]) -> Vec<VmKey> {
        let region_name = &self.catalog.regions[region].name;
        let rendezvous_key = rendezvous_key(role, region_name);
        rank_vms(self.catalog, rendezvous_key, candidates.iter().copied())
    }

    /// Returns the other VMs of a region that are alive; if there are none, those not known to be
    /// dead; if there are none of these either, all.
    fn reachable_in(&self, region: RegionKey) -> Vec<VmKey> {
        let all: Vec<VmKey> = self
            .catalog
            .vms_in(region)
            .filter(|vm| *vm != self.local_vm)
            .collect();
        let with = |accepted: &[Liveness]| -> Vec<VmKey> {
            all.iter()
                .copied()
                .filter(|vm| accepted.contains(&self.liveness(*vm)))
                .collect()
        };
        let alive = with(&[Liveness::Alive]);
        if !alive.is_empty() {
            return alive;
        }
        let not_dead = with(&[Liveness::Unknown, Liveness::Suspected]);
        if not_dead.is_empty() {
            all
        } else {
            not_dead
        }
    }

    fn liveness(&self, vm: VmKey) -> Liveness {
        self.view
            .vms
            .get(vm)
            .map(|view| view.liveness)
            .unwrap_or_default()
    }
}

fn rendezvous_key(role: &str, region: &Name) -> u64 {
    xxh3_64(format!("{role} {region}").as_bytes())
}
