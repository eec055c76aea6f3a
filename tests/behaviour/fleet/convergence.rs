//! All VMs of a fleet discover each other through a few seeds, in virtual time.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use figramp::clock::Monotonic;
use figramp::fleet::FleetView;
use figramp::fleet::GossipPlan;
use rand::rngs::SmallRng;
use rand::SeedableRng;

use super::support::ip;
use super::support::view;

struct Vm {
    view: FleetView,
    plan: GossipPlan,
}

struct Fleet {
    vms: BTreeMap<Ipv4Addr, Vm>,
    rng: SmallRng,
    now: Monotonic,
}

impl Fleet {
    fn new(count: u8, seeds: &[u8], seed: u64) -> Self {
        let vms = (1..=count).map(|number| {
            let plan = GossipPlan::new(seeds.iter().map(|seed| ip(*seed)));
            let vm = Vm {
                view: view(number),
                plan,
            };
            (ip(number), vm)
        });
        Self {
            vms: vms.collect(),
            rng: SmallRng::seed_from_u64(seed),
            now: Monotonic::from_ms(1),
        }
    }

    /// Runs rounds of requests and replies; `is_partitioned` says which pairs are unreachable.
    fn run(&mut self, rounds: usize, is_partitioned: impl Fn(Ipv4Addr, Ipv4Addr) -> bool) {
        for _ in 0..rounds {
            self.now = self.now + GossipPlan::PERIOD;
            let ips: Vec<Ipv4Addr> = self.vms.keys().copied().collect();
            for requester in ips {
                self.round(requester, &is_partitioned);
            }
        }
    }

    fn round(&mut self, requester: Ipv4Addr, is_partitioned: &impl Fn(Ipv4Addr, Ipv4Addr) -> bool) {
        let (now, rng) = (self.now, &mut self.rng);
        let vm = self.vms.get_mut(&requester).expect("a VM");
        vm.view.local_row_mut().beat += 1;
        let targets = vm.plan.targets(now, &vm.view, rng);
        for target in targets
            .into_iter()
            .filter(|target| !is_partitioned(requester, *target))
        {
            let request = GossipPlan::rows(now, &self.vms[&requester].view, target, rng);
            let Some(target_vm) = self.vms.get_mut(&target) else {
                continue;
            };
            for row in &request {
                target_vm.view.merge(now, row, row.ip == requester);
            }
            let reply = GossipPlan::rows(now, &target_vm.view, requester, rng);
            let requester_vm = self.vms.get_mut(&requester).expect("a VM");
            for row in &reply {
                requester_vm.view.merge(now, row, row.ip == target);
            }
        }
    }

    fn smallest_view(&self) -> usize {
        let counts = self.vms.values().map(|vm| vm.view.alive_count(self.now));
        counts.min().unwrap_or(0)
    }
}

#[test]
fn all_vms_discover_each_other_within_two_seconds() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(21, &[1, 2, 3], seed);
        fleet.run(6, |_, _| false);
        assert_eq!(fleet.smallest_view(), 21, "seed {seed}");
    }
}

#[test]
fn a_fleet_of_120_counts_as_alive_though_messages_hold_only_some_rows() {
    let mut fleet = Fleet::new(120, &[1, 2, 3], 7);
    fleet.run(20, |_, _| false);
    for _ in 0..30 {
        fleet.run(1, |_, _| false);
        assert!(fleet.smallest_view() >= 118, "{}", fleet.smallest_view());
    }
}

#[test]
fn one_live_seed_is_enough_for_discovery() {
    let mut fleet = Fleet::new(13, &[200, 201, 5], 3);
    fleet.run(6, |_, _| false);
    assert_eq!(fleet.smallest_view(), 13);
}

#[test]
fn a_fleet_merges_again_after_a_network_partition() {
    let mut fleet = Fleet::new(12, &[1, 2, 3], 11);
    fleet.run(10, |_, _| false);
    let half = |vm: Ipv4Addr| vm.octets()[3] % 2;
    fleet.run(40, |a, b| half(a) != half(b));
    assert_eq!(fleet.smallest_view(), 6);
    fleet.run(12, |_, _| false);
    assert_eq!(fleet.smallest_view(), 12);
}
