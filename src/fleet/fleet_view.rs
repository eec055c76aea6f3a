//! The VMs that a VM knows of.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::NameHash;
use super::VmPhase;
use super::VmRow;
use crate::clock::Monotonic;
use crate::deployment::RegionKey;
use crate::deployment::Topology;

/// The silence after which a VM counts as gone: ten rounds of gossip, of which a few may be lost.
const SILENCE_MAX: Duration = Duration::from_millis(3_000);

/// The silence after which a VM no longer has a share of the limits that all VMs hold together.
///
/// A VM that is cut off goes on using its share; cuts of this length are expected.
const SHARE_KEPT: Duration = Duration::from_secs(30);

/// The weight of a new measurement in the smoothed round-trip time.
const ROUND_TRIP_WEIGHT: f64 = 0.2;

#[derive(Debug)]
struct KnownVm {
    row: VmRow,
    beat_seen_at: Monotonic,
    round_trip_ms: Option<f64>,
}

impl KnownVm {
    fn is_alive(&self, now: Monotonic) -> bool {
        now.since(self.beat_seen_at) < SILENCE_MAX
    }
}

/// The VMs that a VM knows of, itself included.
#[derive(Debug)]
pub struct FleetView {
    topology: Topology,
    local_row: VmRow,
    others: BTreeMap<Ipv4Addr, KnownVm>,
}

impl FleetView {
    /// Creates the view of a VM that knows only itself.
    pub const fn new(topology: Topology, local_row: VmRow) -> Self {
        Self {
            topology,
            local_row,
            others: BTreeMap::new(),
        }
    }

    /// Returns the own row.
    pub const fn local_row(&self) -> &VmRow {
        &self.local_row
    }

    /// Returns the own row for changes; each one that peers shall see needs a new beat.
    pub const fn local_row_mut(&mut self) -> &mut VmRow {
        &mut self.local_row
    }

    /// Returns the region of the VM.
    pub fn local_region(&self) -> RegionKey {
        self.topology.region_of(self.local_row.zone)
    }

    /// Takes a row over if it is newer than the one held; returns whether it was.
    ///
    /// `is_from_itself` tells that the VM sent the row itself, which then counts in any case: after
    /// a step of the time of day a later start may have a lower number.
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
                    beat_seen_at: now,
                    round_trip_ms: None,
                    row: row.clone(),
                };
                self.others.insert(row.ip, vm);
                true
            }
            Some(known) => {
                let held = (known.row.incarnation, known.row.beat);
                let is_restarted = is_from_itself && row.incarnation != known.row.incarnation;
                let is_newer = is_restarted || (row.incarnation, row.beat) > held;
                if is_newer {
                    known.row = row.clone();
                    known.beat_seen_at = now;
                }
                is_newer
            }
        }
    }

    /// Notes the time between a question to a VM and its answer.
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

    /// Takes a VM for gone until it is heard again.
    pub fn on_unreachable(&mut self, ip: Ipv4Addr) {
        if let Some(known) = self.others.get_mut(&ip) {
            known.beat_seen_at = Monotonic::ZERO;
        }
    }

    /// Forgets VMs that left, and those that were silent for long.
    pub fn remove_expired(&mut self, now: Monotonic) {
        self.others.retain(|_, vm| {
            let silence = now.since(vm.beat_seen_at);
            match vm.row.phase {
                VmPhase::Leaving => silence < SILENCE_MAX,
                VmPhase::Starting | VmPhase::Ready => silence < SHARE_KEPT,
            }
        });
    }

    /// Returns the rows of the other VMs that were heard lately.
    pub fn alive(&self, now: Monotonic) -> impl Iterator<Item = &VmRow> {
        let vms = self.others.values();
        vms.filter(move |vm| vm.is_alive(now)).map(|vm| &vm.row)
    }

    /// Returns the rows of the other VMs of the own region, or of all other regions.
    pub fn alive_in(&self, now: Monotonic, is_local: bool) -> impl Iterator<Item = &VmRow> {
        let region = self.local_region();
        self.alive(now)
            .filter(move |row| (self.region(row) == region) == is_local)
    }

    /// Returns whether a VM is known to be of the own region.
    pub fn is_in_local_region(&self, ip: Ipv4Addr) -> bool {
        let vm = self.others.get(&ip);
        vm.is_some_and(|vm| self.region(&vm.row) == self.local_region())
    }

    /// Returns the addresses of the VMs that are known but silent.
    pub fn silent(&self, now: Monotonic) -> impl Iterator<Item = Ipv4Addr> + '_ {
        let vms = self.others.values();
        vms.filter(move |vm| !vm.is_alive(now)).map(|vm| vm.row.ip)
    }

    /// Returns the rows of all other VMs that have a share of common limits.
    pub fn known(&self) -> impl Iterator<Item = &VmRow> {
        self.others.values().map(|vm| &vm.row)
    }

    /// Returns the number of VMs that have a share of common limits, itself included.
    pub fn known_count(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns the number of VMs that were heard lately, itself included.
    pub fn alive_count(&self, now: Monotonic) -> usize {
        self.alive(now).count() + 1
    }

    /// Returns the VMs of a region that take clients, itself included.
    pub fn ready_in(&self, now: Monotonic, region: RegionKey) -> Vec<Ipv4Addr> {
        let others = self.alive(now).filter(|row| self.region(row) == region);
        std::iter::once(&self.local_row)
            .filter(|row| self.region(row) == region)
            .chain(others)
            .filter(|row| row.phase == VmPhase::Ready)
            .map(|row| row.ip)
            .collect()
    }

    /// Returns the VM that reads the store for the region of this one.
    pub fn reader(&self, now: Monotonic) -> Ipv4Addr {
        let region = self.local_region();
        let others = self.alive(now).filter(|row| {
            self.region(row) == region && row.reads_store && row.phase != VmPhase::Leaving
        });
        let local_row = std::iter::once(&self.local_row).filter(|row| row.reads_store);
        others
            .chain(local_row)
            .map(|row| row.ip)
            .max_by_key(|ip| duty_score(READER_DUTY, *ip))
            .unwrap_or(self.local_row.ip)
    }

    /// Returns whether the VM is among the first `count` of its region for a duty.
    pub fn has_duty(&self, now: Monotonic, duty_hash: u64, count: usize) -> bool {
        let region = self.local_region();
        let local_score = duty_score(duty_hash, self.local_row.ip);
        let ahead = self
            .alive(now)
            .filter(|row| self.region(row) == region && row.phase == VmPhase::Ready)
            .filter(|row| duty_score(duty_hash, row.ip) > local_score);
        ahead.count() < count
    }

    /// Returns the smoothed round-trip time to the VMs of a region and a VM of it to send to.
    pub fn forward_target(
        &self,
        now: Monotonic,
        region: RegionKey,
        rng: &mut impl Rng,
    ) -> Option<(Ipv4Addr, Option<f64>)> {
        let ready = self.others.values().filter(|vm| {
            vm.is_alive(now) && vm.row.phase == VmPhase::Ready && self.region(&vm.row) == region
        });
        let vm = ready.choose(rng)?;
        Some((vm.row.ip, vm.round_trip_ms))
    }

    /// Returns the shortest wait for a service that VMs of a region tell.
    pub fn wait_in(&self, now: Monotonic, region: RegionKey, service: NameHash) -> Option<u16> {
        self.alive(now)
            .filter(|row| self.region(row) == region)
            .filter_map(|row| row.waits.iter().find(|wait| wait.service == service))
            .map(|wait| wait.wait_ms)
            .min()
    }

    fn region(&self, row: &VmRow) -> RegionKey {
        self.topology.region_of(row.zone)
    }
}

const READER_DUTY: u64 = 0x7265_6164;

fn duty_score(duty_hash: u64, ip: Ipv4Addr) -> u64 {
    xxh3_64_with_seed(&ip.octets(), duty_hash)
}
