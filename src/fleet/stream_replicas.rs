//! Which VMs remember the beginning of a stream.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fleet_view::rendezvous_score;
use super::MemberChanges;
use crate::deployment::RegionKey;
use crate::streams::StreamKey;

/// The number of VMs of the local region that are asked: two more than are told, as VMs that started since may
/// rank ahead of those.
const ASKED_LOCAL: usize = 6;

/// The number of VMs of other regions that are asked: of each, those that a VM there tells, and itself.
const ASKED_REMOTE: usize = 10;

/// The number of other regions whose VMs are told and asked, unless these have too few.
const REMOTE_REGIONS: usize = 2;

/// The VMs that may remember the beginnings of streams for the local VM, ranked by rendezvous hashing.
#[derive(Clone, Debug)]
pub struct StreamReplicas {
    local_region: RegionKey,
    vms: BTreeMap<RegionKey, BTreeSet<Ipv4Addr>>,
}

impl StreamReplicas {
    /// Creates the ranking of these VMs, of which none is the local one.
    pub fn new(
        local_region: RegionKey,
        vms: impl IntoIterator<Item = (RegionKey, Ipv4Addr)>,
    ) -> Self {
        let mut replicas = Self {
            local_region,
            vms: BTreeMap::new(),
        };
        for (region, ip) in vms {
            replicas.vms.entry(region).or_default().insert(ip);
        }
        replicas
    }

    /// Returns the VMs as they were before some changes.
    pub fn before(&self, changes: &MemberChanges) -> Self {
        let mut before = self.clone();
        for vms in before.vms.values_mut() {
            vms.retain(|ip| !changes.joined.contains(ip));
        }
        for (ip, region) in &changes.lost {
            before.vms.entry(*region).or_default().insert(*ip);
        }
        before.vms.retain(|_, vms| !vms.is_empty());
        before
    }

    /// Returns the `count` VMs that are told of a stream: half of the local region, rounded up, and half of two
    /// others in turn. If these are too few, others take their place.
    pub fn told(&self, stream: StreamKey, count: usize) -> Vec<Ipv4Addr> {
        self.ranked(stream, count.div_ceil(2), count / 2)
    }

    /// Returns the VMs that may have been told of a stream, whichever VM began it, also if some that the
    /// beginner chose are not alive or have been joined by others.
    pub fn asked(&self, stream: StreamKey) -> Vec<Ipv4Addr> {
        self.ranked(stream, ASKED_LOCAL, ASKED_REMOTE)
    }

    fn ranked(&self, stream: StreamKey, local_count: usize, remote_count: usize) -> Vec<Ipv4Addr> {
        let mut local = self.ranked_in(self.local_region, stream);
        let mut remote = self.ranked_remote(stream, local_count + remote_count);
        let missing_local = local_count.saturating_sub(local.len());
        let missing_remote = remote_count.saturating_sub(remote.len());
        local.truncate(local_count + missing_remote);
        remote.truncate(remote_count + missing_local);
        local.extend(remote);
        local
    }

    /// Returns VMs of other regions: those of the first regions in turn, then those of the next ones.
    fn ranked_remote(&self, stream: StreamKey, count: usize) -> Vec<Ipv4Addr> {
        let regions = self.vms.keys().copied();
        let mut regions: Vec<RegionKey> = regions
            .filter(|region| *region != self.local_region)
            .collect();
        regions.sort_by_cached_key(|region| {
            Reverse(xxh3_64_with_seed(&region.0.to_le_bytes(), stream.0))
        });
        let mut ranked = Vec::new();
        for group in regions.chunks(REMOTE_REGIONS) {
            if ranked.len() >= count {
                break;
            }
            let group = group.iter().map(|region| self.ranked_in(*region, stream));
            ranked.extend(in_turn(group.collect()));
        }
        ranked
    }

    fn ranked_in(&self, region: RegionKey, stream: StreamKey) -> Vec<Ipv4Addr> {
        let vms = self.vms.get(&region).into_iter().flatten();
        let mut ranked: Vec<Ipv4Addr> = vms.copied().collect();
        ranked.sort_by_cached_key(|ip| Reverse(rendezvous_score(stream.0, *ip)));
        ranked
    }
}

/// Returns the first of each list, then the second of each, and so on.
fn in_turn(lists: Vec<Vec<Ipv4Addr>>) -> impl Iterator<Item = Ipv4Addr> {
    let length = lists.iter().map(Vec::len).max().unwrap_or_default();
    (0..length).flat_map(move |index| {
        let row = lists.iter().filter_map(|list| list.get(index).copied());
        row.collect::<Vec<Ipv4Addr>>()
    })
}
