//! Measures the processor time of a tick and the control bytes of a VM over growing fleets and
//! numbers of accounts.

#[path = "../tests/behaviour/limits/fleet/mod.rs"]
#[allow(dead_code)]
mod fleet;

use std::hint::black_box;

use criterion::BenchmarkId;
use criterion::Criterion;
use figramp::limits::LimitsSettings;
use rand::rngs::StdRng;
use rand::SeedableRng;

use fleet::AccountPlan;
use fleet::Fleet;
use fleet::FleetPlan;
use fleet::Traffic;

const S: u64 = 1_000_000;
const REQUESTS_PER_VM_AND_S: f64 = 20.0;
const TOKENS_PER_REQUEST: u64 = 250;
const WARM_UP_US: u64 = 20 * S;
const MEASURED_S: u64 = 10;

/// The numbers of regions, of VMs in each region and of accounts.
type FleetSize = (usize, usize, usize);

const BYTE_SIZES: [FleetSize; 7] = [
    (3, 5, 5),
    (3, 10, 5),
    (3, 29, 5),
    (3, 10, 50),
    (3, 10, 200),
    (9, 10, 50),
    (3, 29, 650),
];

const TICK_SIZES: [FleetSize; 5] = [
    (3, 5, 5),
    (3, 29, 5),
    (3, 29, 650),
    (9, 29, 650),
    (27, 29, 650),
];

fn plan((regions, vms_per_region, accounts): FleetSize) -> FleetPlan {
    let vms = regions * vms_per_region;
    let total = vms as u64 * REQUESTS_PER_VM_AND_S as u64 * TOKENS_PER_REQUEST;
    let account = AccountPlan {
        rate: 2 * total / accounts as u64 + 1,
        burst: 20 * total / accounts as u64 + 1,
        shares: Vec::new(),
    };
    FleetPlan {
        seed: 1,
        regions,
        vms_per_region,
        accounts: vec![account; accounts],
    }
}

/// Creates a fleet in which all VMs receive the same traffic, spread evenly over the accounts.
fn busy_fleet(size: FleetSize) -> Fleet {
    let mut fleet = Fleet::new(&plan(size), LimitsSettings::default());
    fleet.run_for(WARM_UP_US);
    let (regions, vms_per_region, accounts) = size;
    let total_per_s = (regions * vms_per_region) as f64 * REQUESTS_PER_VM_AND_S;
    for account in 0..accounts {
        fleet.add_traffic(Traffic {
            account,
            requests_per_s: total_per_s / accounts as f64,
            region_weights: vec![1; regions],
            reserved_tokens: (TOKENS_PER_REQUEST / 2, TOKENS_PER_REQUEST * 3 / 2),
            used_permille: (500, 1_000),
            run_us: (S, 3 * S),
            until_us: u64::MAX,
        });
    }
    fleet.run_for(10 * S);
    fleet
}

fn print_bytes() {
    println!("| Regions | VMs of a region | Accounts | Gossip, B/s of a VM | Limits, B/s of a VM | Messages/s of a VM |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for size in BYTE_SIZES {
        let mut fleet = busy_fleet(size);
        fleet.network.counts_bytes = true;
        fleet.run_for(MEASURED_S * S);
        let per_vm = |count: u64| count / MEASURED_S / fleet.vms.len() as u64;
        println!(
            "| {} | {} | {} | {} | {} | {} |",
            size.0,
            size.1,
            size.2,
            per_vm(fleet.network.membership_bytes),
            per_vm(fleet.network.limits_bytes),
            per_vm(fleet.network.messages),
        );
    }
}

fn tick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tick");
    group.sample_size(10);
    for size in TICK_SIZES {
        let name = format!(
            "{} regions, {} VMs each, {} accounts",
            size.0, size.1, size.2
        );
        let mut fleet = Fleet::new(&plan(size), LimitsSettings::default());
        if size.0 < 27 {
            fleet.run_for(WARM_UP_US);
        }
        let vm = fleet.vm_at(0, 0);
        let mut now_us = fleet.now_us;
        let mut rng = StdRng::seed_from_u64(1);
        let state = fleet.vms.get_mut(&vm).unwrap();
        group.bench_function(BenchmarkId::from_parameter(name), |bencher| {
            bencher.iter(|| {
                now_us += S / 10;
                black_box(state.tick(now_us, &mut rng))
            });
        });
    }
    group.finish();
}

fn main() {
    print_bytes();
    let mut criterion = Criterion::default().configure_from_args();
    tick(&mut criterion);
    criterion.final_summary();
}
