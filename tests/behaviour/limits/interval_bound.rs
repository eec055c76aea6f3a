//! Whatever fails, no more than rate × time + burst is admitted in any interval; after the faults,
//! requests inside the rate are served again.

use figramp::limits::LimitsSettings;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;
use rand::RngExt;

use super::fleet::AccountPlan;
use super::fleet::Fleet;
use super::fleet::FleetPlan;
use super::fleet::Traffic;

const S: u64 = 1_000_000;
const REGIONS: usize = 3;
const CASES: u64 = 4;
const FAULTS: usize = 6;

/// The longest time until a VM applies a published change.
const LAG_US: u64 = 8 * S;

/// A seed that is not shrunk: a smaller one is not a simpler fleet.
#[derive(Clone, Copy, Debug)]
struct Seed(u64);

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u64::arbitrary(g))
    }
}

fn plan(seed: u64) -> FleetPlan {
    let account = |rate, burst| AccountPlan {
        rate,
        burst,
        shares: Vec::new(),
    };
    FleetPlan {
        seed,
        regions: REGIONS,
        vms_per_region: 3,
        accounts: vec![account(2_000, 12_000), account(1_000, 20_000)],
    }
}

fn overload() -> Traffic {
    Traffic {
        account: 0,
        requests_per_s: 25.0,
        region_weights: vec![6, 1, 1],
        reserved_tokens: (100, 800),
        used_permille: (100, 1_000),
        run_us: (S / 2, 8 * S),
        until_us: u64::MAX,
    }
}

fn inside_the_rate() -> Traffic {
    Traffic {
        account: 1,
        requests_per_s: 3.0,
        region_weights: vec![1, 1, 1],
        reserved_tokens: (100, 300),
        used_permille: (500, 1_000),
        run_us: (S / 2, 3 * S),
        until_us: u64::MAX,
    }
}

fn inject_fault(fleet: &mut Fleet, new_vms: &mut usize) {
    let region = fleet.rng.random_range(0..REGIONS);
    let time_us = fleet.rng.random_range(2 * S..30 * S);
    match fleet.rng.random_range(0..7) {
        0 => pause_home(fleet, region, time_us),
        1 => restart_home(fleet, region),
        2 => replace_vm(fleet, region, new_vms),
        3 => partition_region(fleet, region),
        4 => partition_home(fleet, region),
        5 => fleet.network.groups.clear(),
        _ => {
            fleet.network.loss = 0.1;
            fleet.network.duplicated = 0.2;
            fleet.network.delayed = 0.1;
        }
    }
}

fn pause_home(fleet: &mut Fleet, region: usize, time_us: u64) {
    if let Some(home) = fleet.home_of(region, 0) {
        fleet.pause(home, time_us);
    }
}

fn restart_home(fleet: &mut Fleet, region: usize) {
    if let Some(home) = fleet.home_of(region, 0) {
        fleet.kill(home);
        fleet.boot(home);
    }
}

/// Adds a VM, and removes the home once all VMs have applied the catalog with the new one.
fn replace_vm(fleet: &mut Fleet, region: usize, new_vms: &mut usize) {
    *new_vms += 1;
    fleet.published.add_vm(region, 100 + *new_vms);
    let new_vm = fleet.vm_at(region, 100 + *new_vms);
    fleet.boot(new_vm);
    fleet.roll_out_catalog(LAG_US);
    fleet.run_for(LAG_US + 1);
    let Some(home) = fleet.home_of(region, 0) else {
        return;
    };
    let name = fleet.published.latest().vms[home].name.clone();
    fleet.published.remove_vm(&name);
    fleet.roll_out_catalog(LAG_US);
    fleet.run_for(LAG_US + 1);
    fleet.kill(home);
}

fn partition_region(fleet: &mut Fleet, region: usize) {
    let catalog = fleet.published.latest().clone();
    let key = catalog.vms[fleet.vm_in(region)].region;
    for vm in catalog.vms_in(key) {
        fleet.network.groups.insert(vm, region + 1);
    }
}

fn partition_home(fleet: &mut Fleet, region: usize) {
    if let Some(home) = fleet.home_of(region, 0) {
        fleet.network.groups.insert(home, 100);
    }
}

fn heal(fleet: &mut Fleet) {
    fleet.network.groups.clear();
    fleet.network.loss = 0.0;
    fleet.network.duplicated = 0.0;
    fleet.network.delayed = 0.0;
}

fn fleet_under_faults(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(&plan(seed), LimitsSettings::default());
    fleet.add_traffic(overload());
    fleet.add_traffic(inside_the_rate());
    fleet.run_for(20 * S);
    let mut new_vms = 0;
    for _ in 0..FAULTS {
        inject_fault(&mut fleet, &mut new_vms);
        let time_us = fleet.rng.random_range(S / 2..8 * S);
        fleet.run_for(time_us);
    }
    heal(&mut fleet);
    fleet.run_for(40 * S);
    fleet
}

fn holds_the_bound(Seed(seed): Seed) -> TestResult {
    println!("seed {seed}");
    let mut fleet = fleet_under_faults(seed);
    let excess: Vec<u128> = fleet
        .meters
        .iter()
        .map(|meter| meter.excess_tokens)
        .collect();
    if excess.iter().any(|excess| *excess > 0) {
        return TestResult::error(format!("seed {seed}: excess {excess:?} tokens"));
    }
    let from_us = fleet.now_us;
    fleet.run_for(20 * S);
    let refused = fleet.refused_in_rate(1, from_us);
    if refused > 0.05 {
        return TestResult::error(format!("seed {seed}: {refused} refused after the faults"));
    }
    TestResult::passed()
}

/// Runs a few cases, or as many as `QUICKCHECK_TESTS` says.
#[test]
fn no_fault_lets_an_account_exceed_its_rate_and_burst() {
    let mut check = QuickCheck::new();
    if std::env::var("QUICKCHECK_TESTS").is_err() {
        check = check.tests(CASES);
    }
    check.quickcheck(holds_the_bound as fn(Seed) -> TestResult);
}
