//! The VMs that a VM knows from gossip.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::region_discovery::RegionDiscovery;
use super::EntryCandidate;
use super::FleetMember;
use super::FleetMembers;
use super::NameHash;
use super::PeerDistance;
use super::StreamReplicas;
use super::VmPhase;
use super::VmRow;
use crate::clock::Monotonic;
use crate::deployment::RegionKey;
use crate::deployment::Topology;

/// The silence after which a VM no longer counts as alive: ten rounds of gossip, of which a few may
/// be lost.
const SILENCE_MAX: Duration = Duration::from_millis(3_000);

/// The silence after which a VM loses its share of the limits that all VMs enforce together.
///
/// A VM behind a network partition goes on using its share; partitions of this length are expected.
pub(super) const SHARE_TIMEOUT: Duration = Duration::from_secs(30);

/// The weight of a new sample in the exponentially weighted moving average of round-trip times.
const ROUND_TRIP_WEIGHT: f64 = 0.2;

/// The silence after which the process of a VM has likely ended; rows of a live VM may take longer than
/// [`SILENCE_MAX`] in a large fleet.
const MEMBER_SILENCE_MAX: Duration = Duration::from_secs(20);

#[derive(Debug)]
pub(super) struct KnownVm {
    pub(super) row: VmRow,
    pub(super) last_beat_at: Monotonic,
    /// Whether a connection to the VM failed since its last row.
    is_unreachable: bool,
    pub(super) round_trip_ms: Option<f64>,
}

impl KnownVm {
    pub(super) fn is_alive(&self, now: Monotonic) -> bool {
        !self.is_unreachable && now.since(self.last_beat_at) < SILENCE_MAX
    }
}

/// The status rows of the VMs that a VM knows from gossip, its own included.
#[derive(Debug)]
pub struct FleetView {
    topology: Topology,
    pub(super) local_row: VmRow,
    pub(super) others: BTreeMap<Ipv4Addr, KnownVm>,
    discovery: RegionDiscovery,
}

impl FleetView {
    /// Creates the view of a VM that knows only itself.
    pub const fn new(topology: Topology, local_row: VmRow) -> Self {
        Self {
            topology,
            local_row,
            others: BTreeMap::new(),
            discovery: RegionDiscovery::new(Monotonic::ZERO),
        }
    }

    /// Returns the row of the local VM.
    pub const fn local_row(&self) -> &VmRow {
        &self.local_row
    }

    /// Returns the row of the local VM for changes; peers accept a change only with a new `beat`.
    pub const fn local_row_mut(&mut self) -> &mut VmRow {
        &mut self.local_row
    }

    /// Returns the region of the local VM.
    pub fn local_region(&self) -> RegionKey {
        self.topology.region_of(self.local_row.zone)
    }

    /// Stores a row if it is newer than the one held; returns whether it was.
    ///
    /// With `is_from_itself` the VM sent the row about itself, and any other incarnation counts as
    /// newer: after a step of the time of day a later start may have a lower number.
    pub fn merge(&mut self, now: Monotonic, row: &VmRow, is_from_itself: bool) -> bool {
        if row.ip == self.local_row.ip {
            if row.incarnation > self.local_row.incarnation {
                self.local_row.incarnation = row.incarnation + 1;
            }
            return false;
        }
        if usize::from(row.zone.0) >= self.topology.zone_count() {
            return false;
        }
        match self.others.get_mut(&row.ip) {
            None => {
                let vm = KnownVm {
                    last_beat_at: now,
                    is_unreachable: false,
                    round_trip_ms: None,
                    row: row.clone(),
                };
                self.others.insert(row.ip, vm);
                if self.region(row) == self.local_region() {
                    self.discovery.on_found(now);
                }
                true
            }
            Some(known) => {
                let held = (known.row.incarnation, known.row.beat);
                let is_restarted = is_from_itself && row.incarnation != known.row.incarnation;
                let is_newer = is_restarted || (row.incarnation, row.beat) > held;
                if is_newer {
                    known.row = row.clone();
                    known.last_beat_at = now;
                    known.is_unreachable = false;
                }
                is_newer
            }
        }
    }

    /// Records the time between a gossip request to a VM and its reply.
    pub fn on_round_trip(&mut self, ip: Ipv4Addr, round_trip: Duration) {
        let Some(known) = self.others.get_mut(&ip) else {
            return;
        };
        let sample_ms = round_trip.as_secs_f64() * 1_000.0;
        known.round_trip_ms = Some(match known.round_trip_ms {
            None => sample_ms,
            Some(smoothed) => smoothed + ROUND_TRIP_WEIGHT * (sample_ms - smoothed),
        });
    }

    /// Returns the average round-trip time to a VM; `None` if it was not measured.
    pub fn round_trip(&self, ip: IpAddr) -> Option<Duration> {
        let IpAddr::V4(ip) = ip else {
            return None;
        };
        let round_trip_ms = self.others.get(&ip)?.round_trip_ms?;
        Duration::try_from_secs_f64(round_trip_ms / 1_000.0).ok()
    }

    /// Treats a VM as silent until a newer row of it arrives.
    pub fn on_unreachable(&mut self, ip: Ipv4Addr) {
        if let Some(known) = self.others.get_mut(&ip) {
            known.is_unreachable = true;
        }
    }

    /// Removes VMs that left, and those that were silent for 30 s.
    ///
    /// If no other VM of the region is left after such a silence, as after a long pause, the region
    /// has to be discovered anew.
    pub fn remove_expired(&mut self, now: Monotonic) {
        let (topology, region) = (&self.topology, self.local_region());
        let mut is_region_silent = false;
        self.others.retain(|_, vm| {
            let silence = now.since(vm.last_beat_at);
            let is_kept = match vm.row.phase {
                VmPhase::Leaving => silence < SILENCE_MAX,
                VmPhase::Starting | VmPhase::Ready => silence < SHARE_TIMEOUT,
            };
            let is_local = topology.region_of(vm.row.zone) == region;
            is_region_silent |= is_local && !is_kept && vm.row.phase != VmPhase::Leaving;
            is_kept
        });
        if is_region_silent && self.known().all(|row| self.region(row) != region) {
            self.discovery = RegionDiscovery::new(now);
        }
    }

    /// Returns the rows of the other VMs of which a new row arrived within the last 3 s.
    pub fn alive(&self, now: Monotonic) -> impl Iterator<Item = &VmRow> {
        let vms = self.others.values();
        vms.filter(move |vm| vm.is_alive(now)).map(|vm| &vm.row)
    }

    /// Returns the rows of the other live VMs of the local region, or of all remote regions.
    pub fn alive_in(&self, now: Monotonic, is_local: bool) -> impl Iterator<Item = &VmRow> {
        let region = self.local_region();
        self.alive(now)
            .filter(move |row| (self.region(row) == region) == is_local)
    }

    /// Returns whether a new row of another VM arrived within the last 3 s.
    pub fn is_alive(&self, now: Monotonic, ip: Ipv4Addr) -> bool {
        let vm = self.others.get(&ip);
        vm.is_some_and(|vm| vm.is_alive(now))
    }

    /// Returns whether a VM is known to be in the local region.
    pub fn is_in_local_region(&self, ip: Ipv4Addr) -> bool {
        let vm = self.others.get(&ip);
        vm.is_some_and(|vm| self.region(&vm.row) == self.local_region())
    }

    /// Returns the addresses of the VMs that are known but silent.
    pub fn silent(&self, now: Monotonic) -> impl Iterator<Item = Ipv4Addr> + '_ {
        let vms = self.others.values();
        vms.filter(move |vm| !vm.is_alive(now)).map(|vm| vm.row.ip)
    }

    /// Returns the rows of all other VMs that have a share of the common limits, even if silent.
    pub fn known(&self) -> impl Iterator<Item = &VmRow> {
        self.others.values().map(|vm| &vm.row)
    }

    /// Returns the number of VMs that have a share of the common limits, the local one included.
    pub fn known_count(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns the number of live VMs, the local one included.
    pub fn alive_count(&self, now: Monotonic) -> usize {
        self.alive(now).count() + 1
    }

    /// Returns the live VMs of a region that accept client requests, the local one included.
    pub fn ready_in(&self, now: Monotonic, region: RegionKey) -> Vec<Ipv4Addr> {
        let vms = self.entry_candidates(now, region);
        vms.iter().map(|vm| vm.ip).collect()
    }

    /// Returns the same VMs with their availability zones.
    pub fn entry_candidates(&self, now: Monotonic, region: RegionKey) -> Vec<EntryCandidate> {
        let others = self.alive(now).filter(|row| self.region(row) == region);
        std::iter::once(&self.local_row)
            .filter(|row| self.region(row) == region)
            .chain(others)
            .filter(|row| row.phase == VmPhase::Ready)
            .map(|row| EntryCandidate {
                ip: row.ip,
                zone: row.zone,
                is_cut_off: row.is_cut_off,
            })
            .collect()
    }

    /// Returns the VM that reads the store for the local region, by rendezvous hashing.
    pub fn reader(&self, now: Monotonic) -> Ipv4Addr {
        let region = self.local_region();
        let others = self.alive(now).filter(|row| {
            self.region(row) == region && row.reads_store && row.phase != VmPhase::Leaving
        });
        let local_row = std::iter::once(&self.local_row).filter(|row| row.reads_store);
        others
            .chain(local_row)
            .map(|row| row.ip)
            .max_by_key(|ip| rendezvous_score(READER_RENDEZVOUS_KEY, *ip))
            .unwrap_or(self.local_row.ip)
    }

    /// Returns the VM from which the local one hears what was read from the store: in the zone of the reader that
    /// itself, in another zone one VM of the zone, by rendezvous hashing, which asks the reader.
    pub fn reader_nearby(&self, now: Monotonic) -> Ipv4Addr {
        let reader = self.reader(now);
        let zone = self.local_row.zone;
        let is_near = |ip| self.others.get(&ip).is_none_or(|vm| vm.row.zone == zone);
        if is_near(reader) {
            return reader;
        }
        let others = self.alive(now).filter(|row| row.zone == zone);
        let relay = std::iter::once(&self.local_row)
            .chain(others)
            .filter(|row| row.phase != VmPhase::Leaving)
            .map(|row| row.ip)
            .max_by_key(|ip| rendezvous_score(READER_RENDEZVOUS_KEY, *ip));
        relay
            .filter(|relay| *relay != self.local_row.ip)
            .unwrap_or(reader)
    }

    /// Returns whether the local VM is one of the `count` VMs of its region with the highest
    /// rendezvous scores for a key.
    ///
    /// Silent and starting VMs keep their rank, as they may count themselves in. A VM that has just
    /// started or is leaving isn't selected.
    pub fn is_selected(&self, now: Monotonic, rendezvous_key: u64, count: usize) -> bool {
        if !self.discovery.is_complete(now) || self.local_row.phase == VmPhase::Leaving {
            return false;
        }
        let region = self.local_region();
        let local_score = rendezvous_score(rendezvous_key, self.local_row.ip);
        let ahead = self
            .known()
            .filter(|row| self.region(row) == region && row.phase != VmPhase::Leaving)
            .filter(|row| rendezvous_score(rendezvous_key, row.ip) > local_score);
        ahead.count() < count
    }

    /// Returns the live VMs of which some remember the beginnings of streams for the local VM.
    pub fn stream_replicas(&self, now: Monotonic) -> StreamReplicas {
        let vms = self.alive(now).filter(|row| row.phase != VmPhase::Leaving);
        let vms = vms.map(|row| (self.region(row), row.ip));
        StreamReplicas::new(self.local_region(), vms)
    }

    /// Returns the processes of the other VMs, without those that leave or have likely ended.
    pub fn members(&self, now: Monotonic) -> FleetMembers {
        let vms = self.others.values().filter(|vm| {
            vm.row.phase != VmPhase::Leaving && now.since(vm.last_beat_at) < MEMBER_SILENCE_MAX
        });
        let members = vms.map(|vm| {
            let member = FleetMember {
                region: self.region(&vm.row),
                incarnation: vm.row.incarnation,
            };
            (vm.row.ip, member)
        });
        members.collect()
    }

    /// Returns whether a VM is known, though it may be silent.
    pub fn is_known(&self, ip: Ipv4Addr) -> bool {
        self.others.contains_key(&ip)
    }

    /// Returns how far away a VM is; an unknown one counts as being in another region.
    pub fn distance(&self, ip: Ipv4Addr) -> PeerDistance {
        match self.others.get(&ip) {
            Some(vm) if vm.row.zone == self.local_row.zone => PeerDistance::SameZone,
            Some(vm) if self.region(&vm.row) == self.local_region() => PeerDistance::SameRegion,
            _ => PeerDistance::OtherRegion,
        }
    }

    /// Returns whether the local VM is the one of its zone that fetches from other zones, by
    /// rendezvous hashing.
    pub fn fetches_for_zone(&self, now: Monotonic) -> bool {
        let local_score = rendezvous_score(FETCH_RENDEZVOUS_KEY, self.local_row.ip);
        self.alive(now)
            .filter(|row| row.zone == self.local_row.zone && row.phase != VmPhase::Leaving)
            .all(|row| rendezvous_score(FETCH_RENDEZVOUS_KEY, row.ip) < local_score)
    }

    /// Returns the shortest wait for a service that VMs of a region report, in milliseconds.
    pub fn wait_in(&self, now: Monotonic, region: RegionKey, service: NameHash) -> Option<u16> {
        self.alive(now)
            .filter(|row| self.region(row) == region && !row.is_cut_off)
            .filter_map(|row| row.waits.iter().find(|wait| wait.service == service))
            .map(|wait| wait.wait_ms)
            .min()
    }

    pub(super) fn region(&self, row: &VmRow) -> RegionKey {
        self.topology.region_of(row.zone)
    }
}

const FETCH_RENDEZVOUS_KEY: u64 = 0x6665_7463;

const READER_RENDEZVOUS_KEY: u64 = 0x7265_6164;

pub(super) fn rendezvous_score(rendezvous_key: u64, ip: Ipv4Addr) -> u64 {
    xxh3_64_with_seed(&ip.octets(), rendezvous_key)
}
