//! The youngest summaries of other regions that one VM has received.

use std::time::Duration;

use slotmap::SecondaryMap;

use super::Liveness;
use super::RegionSummary;
use super::Roster;
use super::VmSummary;
use crate::catalog::Catalog;
use crate::catalog::RegionKey;
use crate::catalog::VmKey;
use crate::clock::Monotonic;

/// The age that is added to a summary each time it is sent, so that none circulates for ever.
const HOP_AGE: Duration = Duration::from_millis(200);

/// The youngest summary of each other region, and the states of its VMs.
#[derive(Clone, Debug, Default)]
pub struct RemoteRegions {
    regions: SecondaryMap<RegionKey, RemoteRegion>,
}

#[derive(Clone, Debug)]
struct RemoteRegion {
    summary: RegionSummary,
    received_at: Monotonic,
    send_count: u32,
    vms: SecondaryMap<VmKey, VmSummary>,
}

impl RemoteRegions {
    /// Drops regions that are no longer published.
    pub fn retain_published(&mut self, catalog: &Catalog) {
        self.regions
            .retain(|region, _| catalog.regions.contains_key(region));
    }

    /// Stores a summary if it is younger than the one held.
    pub fn record(&mut self, now: Monotonic, catalog: &Catalog, summary: RegionSummary) {
        let region = summary.region;
        let known = self.regions.get(region);
        if known.is_some_and(|known| known.age(now) <= summary.age + HOP_AGE) {
            return;
        }
        let roster = Roster::of_region(catalog, region);
        let vms = if roster.hash == summary.roster_hash {
            let pairs = roster.vms.into_iter().zip(summary.vms.iter().copied());
            pairs.collect()
        } else {
            known.map(|known| known.vms.clone()).unwrap_or_default()
        };
        let remote = RemoteRegion {
            summary,
            received_at: now,
            send_count: 0,
            vms,
        };
        self.regions.insert(region, remote);
    }

    /// Returns the state of a VM of another region.
    pub fn vm(&self, region: RegionKey, vm: VmKey) -> Option<VmSummary> {
        self.regions.get(region)?.vms.get(vm).copied()
    }

    /// Returns the liveness of a VM of another region; dead if the summary is too old.
    pub fn liveness(
        &self,
        now: Monotonic,
        region: RegionKey,
        vm: VmKey,
        summary_lifetime: Duration,
    ) -> Liveness {
        let Some(remote) = self.regions.get(region) else {
            return Liveness::Unknown;
        };
        if remote.age(now) >= summary_lifetime {
            return Liveness::Dead;
        }
        remote
            .vms
            .get(vm)
            .map(|summary| summary.liveness())
            .unwrap_or_default()
    }

    /// Picks up to `count` summaries younger than `summary_lifetime`, the least often forwarded
    /// ones first.
    pub fn pick(
        &mut self,
        now: Monotonic,
        count: usize,
        summary_lifetime: Duration,
    ) -> Vec<RegionSummary> {
        let mut fresh: Vec<&mut RemoteRegion> = self
            .regions
            .values_mut()
            .filter(|remote| remote.age(now) < summary_lifetime)
            .collect();
        fresh.sort_by_key(|remote| (remote.send_count, remote.age(now)));
        fresh.truncate(count);
        fresh
            .into_iter()
            .map(|remote| remote.forward(now))
            .collect()
    }
}

impl RemoteRegion {
    fn age(&self, now: Monotonic) -> Duration {
        self.summary.age + now.since(self.received_at)
    }

    fn forward(&mut self, now: Monotonic) -> RegionSummary {
        self.send_count += 1;
        RegionSummary {
            age: self.age(now) + HOP_AGE,
            ..self.summary.clone()
        }
    }
}
