//! How many streams of killed VMs the others remember.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

use figramp::clock::Monotonic;
use figramp::deployment::SoftwareVersion;
use figramp::fleet::FleetView;
use figramp::fleet::VmRow;
use figramp::streams::OriginRepair;
use figramp::streams::OriginState;
use figramp::streams::ReplicaCount;
use figramp::streams::StreamKey;
use figramp::streams::StreamOrigin;
use figramp::streams::StreamOrigins;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use rand::SeedableRng;

use crate::fleet::support::ip;
use crate::fleet::support::row;
use crate::fleet::support::topology;

const STARTED_AT: Monotonic = Monotonic::from_ms(1_000);

const STREAMS_PER_VM: usize = 40;

struct Vm {
    view: FleetView,
    origins: StreamOrigins,
    repair: OriginRepair,
    count: ReplicaCount,
}

/// VMs in three regions that know each other.
struct Fleet {
    rows: BTreeMap<Ipv4Addr, VmRow>,
    vms: BTreeMap<Ipv4Addr, Vm>,
    rng: SmallRng,
    now: Monotonic,
}

impl Fleet {
    fn new(size: u8, seed: u64) -> Self {
        let rows = (1..=size).map(|number| (ip(number), row(number, 1)));
        let mut fleet = Self {
            rows: rows.collect(),
            vms: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            now: STARTED_AT,
        };
        let ips: Vec<Ipv4Addr> = fleet.rows.keys().copied().collect();
        fleet.start(&ips);
        fleet
    }

    /// Starts VMs; all VMs hear of each other.
    fn start(&mut self, ips: &[Ipv4Addr]) {
        for ip in ips {
            let row = self.rows.get_mut(ip).expect("a VM of the fleet");
            row.incarnation += 1;
            let vm = Vm {
                view: FleetView::new(topology(), row.clone()),
                origins: StreamOrigins::default(),
                repair: OriginRepair::default(),
                count: ReplicaCount::default(),
            };
            self.vms.insert(*ip, vm);
        }
        for vm in self.vms.values_mut() {
            for row in self.rows.values() {
                vm.view.merge(self.now, row, true);
            }
        }
        self.repair();
    }

    /// Lets the VMs notice which of them are dead.
    fn notice_deaths(&mut self) {
        self.now = self.now + Duration::from_secs(20);
        for row in self.rows.values_mut() {
            row.beat += 1;
        }
        let alive: Vec<VmRow> = self.vms.keys().map(|ip| self.rows[ip].clone()).collect();
        for vm in self.vms.values_mut() {
            for row in &alive {
                vm.view.merge(self.now, row, true);
            }
        }
        self.repair();
    }

    /// Runs rounds of gossip until each VM has told the new replicas of its streams.
    fn repair(&mut self) {
        let mut told = Vec::new();
        for vm in self.vms.values_mut() {
            let origins = &vm.origins;
            vm.repair
                .start_if_changed(vm.view.members(self.now), || origins.told(|_| true));
            let replicas = vm.view.stream_replicas(self.now);
            while !vm.repair.is_idle() {
                told.extend(
                    vm.repair
                        .next_round(&replicas, origins, vm.count.get(self.now)),
                );
            }
        }
        for (to, origin) in told {
            self.tell(to, origin);
        }
    }

    /// Kills a random part of the VMs.
    fn kill(&mut self, part: f64) -> Vec<Ipv4Addr> {
        let mut ips: Vec<Ipv4Addr> = self.vms.keys().copied().collect();
        ips.shuffle(&mut self.rng);
        ips.truncate((ips.len() as f64 * part).round() as usize);
        self.vms.retain(|ip, _| !ips.contains(ip));
        ips
    }

    /// Begins streams at each VM.
    fn begin(&mut self) -> Vec<(Ipv4Addr, StreamKey)> {
        let mut streams = Vec::new();
        let ips: Vec<Ipv4Addr> = self.vms.keys().copied().collect();
        for ip in ips {
            for _ in 0..STREAMS_PER_VM {
                let stream = StreamKey(rand::Rng::next_u64(&mut self.rng));
                let version = SoftwareVersion::from_name("v1").expect("a version");
                let origin = StreamOrigin { stream, version };
                let vm = &self.vms[&ip];
                let replicas = vm
                    .view
                    .stream_replicas(self.now)
                    .told(stream, vm.count.get(self.now));
                for replica in replicas.into_iter().chain([ip]) {
                    self.tell(replica, origin);
                }
                streams.push((ip, stream));
            }
        }
        streams
    }

    fn tell(&mut self, to: Ipv4Addr, origin: StreamOrigin) {
        if let Some(vm) = self.vms.get_mut(&to) {
            vm.origins.record_told(self.now, origin);
        }
    }

    fn knows(&self, vm: Ipv4Addr, stream: StreamKey) -> bool {
        let vm = self.vms.get(&vm);
        vm.is_some_and(|vm| vm.origins.get(stream) != OriginState::Unknown)
    }

    /// Takes the streams of killed VMs up at others; returns the forgotten part.
    fn forgotten_part(&mut self, killed: &[Ipv4Addr], streams: &[(Ipv4Addr, StreamKey)]) -> f64 {
        let killed: BTreeSet<Ipv4Addr> = killed.iter().copied().collect();
        let vms: Vec<Ipv4Addr> = self.vms.keys().copied().collect();
        let (mut count, mut forgotten_count) = (0, 0);
        for (_, stream) in streams.iter().filter(|(vm, _)| killed.contains(vm)) {
            let vm = *vms.choose(&mut self.rng).expect("a VM that was not killed");
            let asked = self.vms[&vm].view.stream_replicas(self.now).asked(*stream);
            let is_known = asked
                .into_iter()
                .chain([vm])
                .any(|vm| self.knows(vm, *stream));
            count += 1;
            forgotten_count += usize::from(!is_known);
        }
        forgotten_count as f64 / f64::from(count)
    }
}

/// Returns the largest part that is forgotten over fleets of several sizes.
fn forgotten_part_max(part: f64, herd_count: usize) -> f64 {
    let parts = [7, 10, 16, 40, 120].map(|size| {
        let mut fleet = Fleet::new(size, u64::from(size));
        let streams = fleet.begin();
        let mut killed = fleet.kill(part);
        for _ in 1..herd_count {
            fleet.start(&killed);
            killed.extend(fleet.kill(part));
        }
        let forgotten = fleet.forgotten_part(&killed, &streams);
        println!("{size} VMs, {herd_count} x {part} killed: {forgotten:.3} forgotten");
        forgotten
    });
    parts.into_iter().fold(0.0, f64::max)
}

fn check(herd_count: usize) {
    let bounds = [(0.3, 0.02), (0.6, 0.1), (0.8, 0.25)];
    let parts = bounds.map(|(part, _)| forgotten_part_max(part, herd_count));
    for ((part, bound), forgotten) in bounds.into_iter().zip(parts) {
        assert!(
            forgotten <= bound,
            "{part} killed: {forgotten:.3} forgotten"
        );
    }
}

#[test]
fn streams_of_a_herd_of_killed_vms_are_not_forgotten() {
    check(1);
}

#[test]
fn streams_are_not_forgotten_if_more_vms_die_after_some_did_not_start_again() {
    for size in [16, 40, 120] {
        let mut fleet = Fleet::new(size, u64::from(size));
        let streams = fleet.begin();
        let mut killed = fleet.kill(0.6);
        fleet.notice_deaths();
        killed.extend(fleet.kill(0.6));
        let forgotten = fleet.forgotten_part(&killed, &streams);
        println!("{size} VMs, 0.6 and 0.6 of the rest: {forgotten:.3} forgotten");
        assert!(forgotten <= 0.1, "{size} VMs: {forgotten:.3} forgotten");
    }
}

#[test]
fn streams_are_not_forgotten_if_a_second_herd_of_vms_is_killed() {
    check(2);
}
