//! VMs of a region of two zones gossip mostly within their zone, and yet know all others, in virtual time.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use figramp::catalog::Name;
use figramp::clock::Monotonic;
use figramp::deployment::Topology;
use figramp::deployment::ZoneKey;
use figramp::fleet::FleetView;
use figramp::fleet::GossipPlan;
use figramp::fleet::VmRow;
use rand::rngs::SmallRng;
use rand::SeedableRng;

use super::support::ip;
use super::support::row;

/// The zones of a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Zones {
    One,
    Two,
}

fn zone(vm: Ipv4Addr) -> ZoneKey {
    ZoneKey(u16::from(vm.octets()[3] % 2))
}

/// Returns the view of a VM; numbers alternate between two zones.
fn zoned_view(number: u8, zones: Zones) -> FleetView {
    let row = VmRow {
        zone: match zones {
            Zones::One => ZoneKey(0),
            Zones::Two => zone(ip(number)),
        },
        ..row(number, 1)
    };
    let name = |text: &str| Name::new(text).expect("a name");
    let names = ["east-a", "east-b"].map(|zone| (name(zone), name("east")));
    FleetView::new(Topology::new(names), row)
}

struct Region {
    vms: BTreeMap<Ipv4Addr, (FleetView, GossipPlan)>,
    rng: SmallRng,
    now: Monotonic,
    sent: usize,
    sent_to_other_zone: usize,
}

impl Region {
    fn new(count: u8, zones: Zones, seed: u64) -> Self {
        let vms = (1..=count).map(|number| {
            let plan = GossipPlan::new([ip(1), ip(2)]);
            (ip(number), (zoned_view(number, zones), plan))
        });
        Self {
            vms: vms.collect(),
            rng: SmallRng::seed_from_u64(seed),
            now: Monotonic::from_ms(1),
            sent: 0,
            sent_to_other_zone: 0,
        }
    }

    /// Runs rounds of requests and replies between the VMs that `is_up` says are.
    fn run(&mut self, rounds: usize, is_up: impl Fn(Ipv4Addr) -> bool) {
        let ips: Vec<Ipv4Addr> = self.vms.keys().copied().collect();
        for _ in 0..rounds {
            self.now = self.now + GossipPlan::PERIOD;
            for requester in ips.iter().copied().filter(|ip| is_up(*ip)) {
                for target in self.targets(requester) {
                    if is_up(target) {
                        self.exchange(requester, target);
                    }
                }
            }
        }
    }

    fn targets(&mut self, requester: Ipv4Addr) -> Vec<Ipv4Addr> {
        let (view, plan) = self.vms.get_mut(&requester).expect("a VM");
        view.local_row_mut().beat += 1;
        let targets = plan.targets(self.now, view, &mut self.rng);
        targets.into_iter().collect()
    }

    fn exchange(&mut self, requester: Ipv4Addr, target: Ipv4Addr) {
        self.sent += 1;
        self.sent_to_other_zone += usize::from(zone(requester) != zone(target));
        for (from, to) in [(requester, target), (target, requester)] {
            let rows = GossipPlan::rows(self.now, &self.vms[&from].0, to, &mut self.rng);
            let (view, _) = self.vms.get_mut(&to).expect("a VM");
            for row in &rows {
                view.merge(self.now, row, row.ip == from);
            }
        }
    }

    fn smallest_view(&self, is_up: impl Fn(Ipv4Addr) -> bool) -> usize {
        let up = self.vms.iter().filter(|(ip, _)| is_up(**ip));
        let counts = up.map(|(_, (view, _))| view.alive_count(self.now));
        counts.min().unwrap_or(0)
    }

    /// Returns the smallest view of any VM in a number of rounds.
    fn smallest_view_in(&mut self, rounds: usize) -> usize {
        let views = (0..rounds).map(|_| {
            self.run(1, |_| true);
            self.smallest_view(|_| true)
        });
        views.min().unwrap_or(0)
    }

    fn other_zone_share(&self) -> f64 {
        self.sent_to_other_zone as f64 / self.sent as f64
    }
}

#[test]
fn vms_of_two_zones_discover_each_other_within_three_seconds() {
    for seed in 0..20 {
        for count in [2, 3, 5, 20, 60] {
            let mut region = Region::new(count, Zones::Two, seed);
            region.run(10, |_| true);
            let smallest = region.smallest_view(|_| true);
            assert_eq!(smallest, usize::from(count), "seed {seed}");
        }
    }
}

#[test]
fn all_count_as_alive_though_few_requests_leave_a_zone() {
    for (count, share_max) in [(20, 0.25), (60, 0.12), (120, 0.08)] {
        let mut region = Region::new(count, Zones::Two, 7);
        region.run(20, |_| true);
        (region.sent, region.sent_to_other_zone) = (0, 0);
        let smallest = region.smallest_view_in(60);
        let share = region.other_zone_share();
        let mut one_zone = Region::new(count, Zones::One, 7);
        one_zone.run(20, |_| true);
        let smallest_in_one = one_zone.smallest_view_in(60);
        println!("{count}: {smallest}, in one zone {smallest_in_one}; {share}");
        assert!(
            smallest >= smallest_in_one.min(usize::from(count) - 2),
            "{count}: {smallest}"
        );
        assert!(share < share_max, "{count}: {share}");
    }
}

#[test]
fn a_zone_that_was_lost_is_silent_to_all_and_is_known_again_after_its_return() {
    let mut region = Region::new(40, Zones::Two, 3);
    region.run(20, |_| true);
    let is_up = |vm: Ipv4Addr| zone(vm) == ZoneKey(0);
    region.run(15, is_up);
    assert_eq!(region.smallest_view(is_up), 20);
    region.run(15, |_| true);
    assert_eq!(region.smallest_view(|_| true), 40);
}

#[test]
fn one_vm_of_a_zone_asks_the_reader_in_another_for_all_of_its_zone() {
    let mut region = Region::new(40, Zones::Two, 5);
    region.run(20, |_| true);
    let now = region.now;
    let views: Vec<&FleetView> = region.vms.values().map(|(view, _)| view).collect();
    let reader = views[0].reader(now);
    let (near, far): (Vec<&FleetView>, Vec<&FleetView>) = views
        .into_iter()
        .partition(|view| view.local_row().zone == zone(reader));
    assert!(near.iter().all(|view| view.reader_nearby(now) == reader));
    let asking = far.iter().filter(|view| view.reader_nearby(now) == reader);
    assert_eq!(asking.count(), 1);
}
