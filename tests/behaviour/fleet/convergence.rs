//! A whole fleet finds itself by a few seeds, in virtual time.

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

    /// Runs rounds of questions and answers; `is_cut` tells which pairs cannot reach each other.
    fn run(&mut self, rounds: usize, is_cut: impl Fn(Ipv4Addr, Ipv4Addr) -> bool) {
        for _ in 0..rounds {
            self.now = self.now + GossipPlan::PERIOD;
            let names: Vec<Ipv4Addr> = self.vms.keys().copied().collect();
            for asking in names {
                self.round(asking, &is_cut);
            }
        }
    }

    fn round(&mut self, asking: Ipv4Addr, is_cut: &impl Fn(Ipv4Addr, Ipv4Addr) -> bool) {
        let (now, rng) = (self.now, &mut self.rng);
        let vm = self.vms.get_mut(&asking).expect("a VM");
        vm.view.local_row_mut().beat += 1;
        let targets = vm.plan.targets(now, &vm.view, rng);
        for target in targets
            .into_iter()
            .filter(|target| !is_cut(asking, *target))
        {
            let question = GossipPlan::rows(now, &self.vms[&asking].view, target, rng);
            let Some(asked) = self.vms.get_mut(&target) else {
                continue;
            };
            for row in &question {
                asked.view.merge(now, row, row.ip == asking);
            }
            let answer = GossipPlan::rows(now, &asked.view, asking, rng);
            let asking_vm = self.vms.get_mut(&asking).expect("a VM");
            for row in &answer {
                asking_vm.view.merge(now, row, row.ip == target);
            }
        }
    }

    fn smallest_view(&self) -> usize {
        let counts = self.vms.values().map(|vm| vm.view.alive_count(self.now));
        counts.min().unwrap_or(0)
    }
}

#[test]
fn all_vms_know_each_other_within_two_seconds() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(21, &[1, 2, 3], seed);
        fleet.run(6, |_, _| false);
        assert_eq!(fleet.smallest_view(), 21, "seed {seed}");
    }
}

#[test]
fn a_fleet_of_120_stays_known_as_alive_while_it_gossips_parts_of_its_rows() {
    let mut fleet = Fleet::new(120, &[1, 2, 3], 7);
    fleet.run(20, |_, _| false);
    for _ in 0..30 {
        fleet.run(1, |_, _| false);
        assert!(fleet.smallest_view() >= 118, "{}", fleet.smallest_view());
    }
}

#[test]
fn dead_seeds_are_no_obstacle_as_long_as_one_lives() {
    let mut fleet = Fleet::new(13, &[200, 201, 5], 3);
    fleet.run(6, |_, _| false);
    assert_eq!(fleet.smallest_view(), 13);
}

#[test]
fn parts_that_were_cut_off_from_each_other_meet_again() {
    let mut fleet = Fleet::new(12, &[1, 2, 3], 11);
    fleet.run(10, |_, _| false);
    let half = |vm: Ipv4Addr| vm.octets()[3] % 2;
    fleet.run(40, |a, b| half(a) != half(b));
    assert_eq!(fleet.smallest_view(), 6);
    fleet.run(12, |_, _| false);
    assert_eq!(fleet.smallest_view(), 12);
}
