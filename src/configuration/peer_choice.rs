//! Chooses the VMs that a VM tells its state.

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

/// The VMs as one VM sees them, for choices of peers and duties.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerChoice<'a> {
    pub(super) own: VmKey,
    pub(super) region: RegionKey,
    pub(super) catalog: &'a Catalog,
    pub(super) view: &'a MembershipView,
}

impl<'a> PeerChoice<'a> {
    pub(super) fn new(own: VmKey, catalog: &'a Catalog, view: &'a MembershipView) -> Option<Self> {
        let region = catalog.vms.get(own)?.region;
        Some(Self {
            own,
            region,
            catalog,
            view,
        })
    }

    /// Tells whether the own VM is to watch the service.
    pub(super) fn is_watcher(&self) -> bool {
        self.has_duty("configuration watch", self.region, WATCHERS_PER_REGION)
    }

    /// Tells whether the own VM is to talk to other regions.
    pub(super) fn is_bridge(&self) -> bool {
        self.has_duty("configuration bridge", self.region, BRIDGES_PER_REGION)
    }

    /// Chooses peers of the own region.
    pub(super) fn in_region(&self, count: usize, rng: &mut impl Rng) -> Vec<VmKey> {
        let candidates = self.reachable_in(self.region);
        candidates.sample(rng, count).copied().collect()
    }

    /// Chooses a bridge VM of each of `count` other regions.
    pub(super) fn in_other_regions(&self, count: usize, rng: &mut impl Rng) -> Vec<VmKey> {
        let regions: Vec<RegionKey> = self
            .catalog
            .regions
            .keys()
            .filter(|region| *region != self.region)
            .collect();
        let chosen: Vec<RegionKey> = regions.sample(rng, count).copied().collect();
        chosen
            .into_iter()
            .filter_map(|region| self.bridges(region).choose(rng).copied())
            .collect()
    }

    /// Chooses the peers that a booting VM asks: mostly of its region, some of others.
    pub(super) fn for_boot(&self, count: usize, rng: &mut impl Rng) -> Vec<VmKey> {
        let in_region = self.in_region(count.div_ceil(2), rng);
        let others: Vec<VmKey> = self
            .catalog
            .vms
            .keys()
            .filter(|vm| *vm != self.own && !in_region.contains(vm))
            .collect();
        let rest = count - in_region.len();
        let others: Vec<VmKey> = others.sample(rng, rest).copied().collect();
        in_region.into_iter().chain(others).collect()
    }

    fn has_duty(&self, duty: &str, region: RegionKey, count: usize) -> bool {
        let mut candidates = self.reachable_in(region);
        candidates.push(self.own);
        self.ranked(duty, region, &candidates)
            .into_iter()
            .take(count)
            .any(|vm| vm == self.own)
    }

    fn bridges(&self, region: RegionKey) -> Vec<VmKey> {
        let candidates = self.reachable_in(region);
        let mut ranked = self.ranked("configuration bridge", region, &candidates);
        ranked.truncate(BRIDGES_PER_REGION);
        ranked
    }

    fn ranked(&self, duty: &str, region: RegionKey, candidates: &[VmKey]) -> Vec<VmKey> {
        let region_name = &self.catalog.regions[region].name;
        let hash = duty_hash(duty, region_name);
        rank_vms(self.catalog, hash, candidates.iter().copied())
    }

    /// Returns the VMs of a region that are alive, or else those not known to be dead, or else all.
    fn reachable_in(&self, region: RegionKey) -> Vec<VmKey> {
        let all: Vec<VmKey> = self
            .catalog
            .vms_in(region)
            .filter(|vm| *vm != self.own)
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

fn duty_hash(duty: &str, region: &Name) -> u64 {
    xxh3_64(format!("{duty} {region}").as_bytes())
}
