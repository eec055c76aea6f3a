//! Compares strategies to limit a rate over all VMs: static shares, one global home, and a home per
//! region with grants.

#[path = "../tests/behaviour/limits/fleet/mod.rs"]
#[allow(dead_code)]
mod fleet;

use figramp::limits::LimitsSettings;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;

use fleet::AccountPlan;
use fleet::ExcessMeter;
use fleet::Fleet;
use fleet::FleetPlan;
use fleet::IdealBucket;
use fleet::Traffic;

const S: u64 = 1_000_000;
const REGIONS: usize = 3;
const WARM_UP_US: u64 = 40 * S;
const SEEDS: u64 = 3;

/// The size of one user's fleet and of its largest account.
struct Size {
    name: &'static str,
    vms_per_region: usize,
    rate: u64,
    burst: u64,
}

const SIZES: [Size; 2] = [
    Size {
        name: "15 VMs",
        vms_per_region: 5,
        rate: 3_000,
        burst: 30_000,
    },
    Size {
        name: "21 VMs",
        vms_per_region: 7,
        rate: 6_000,
        burst: 60_000,
    },
];

#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    StaticShares,
    GlobalHome,
    HomePerRegion,
}

const STRATEGIES: [(Strategy, &str); 3] = [
    (Strategy::StaticShares, "static share per VM"),
    (Strategy::GlobalHome, "one home in the world"),
    (Strategy::HomePerRegion, "home per region"),
];

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    HomePaused,
    RegionPartitioned,
}

/// A kind of traffic with a fault; the load is relative to the rate.
struct Scenario {
    name: &'static str,
    load: f64,
    weights: [u32; REGIONS],
    used_permille: (u64, u64),
    fault: Fault,
    time_us: u64,
}

const SCENARIOS: [Scenario; 7] = [
    scenario(
        "uniform, 70% of the rate",
        0.7,
        [1, 1, 1],
        Fault::None,
        120 * S,
    ),
    scenario("skewed 8:1:1, 70%", 0.7, [8, 1, 1], Fault::None, 120 * S),
    scenario("one region only, 90%", 0.9, [0, 1, 0], Fault::None, 120 * S),
    Scenario {
        used_permille: (100, 300),
        ..scenario(
            "uniform, a fifth used, 70%",
            3.5,
            [1, 1, 1],
            Fault::None,
            120 * S,
        )
    },
    scenario("five times the rate", 5.0, [1, 1, 1], Fault::None, 120 * S),
    scenario(
        "home paused for 30 s, 70%",
        0.7,
        [1, 1, 1],
        Fault::HomePaused,
        120 * S,
    ),
    scenario(
        "region cut for 1 h, 70%",
        0.7,
        [1, 1, 1],
        Fault::RegionPartitioned,
        3_600 * S,
    ),
];

const fn scenario(
    name: &'static str,
    load: f64,
    weights: [u32; REGIONS],
    fault: Fault,
    time_us: u64,
) -> Scenario {
    Scenario {
        name,
        load,
        weights,
        used_permille: (1_000, 1_000),
        fault,
        time_us,
    }
}

/// The results of a run, or their combination over all seeds.
#[derive(Default)]
struct Measured {
    excess_tokens: u128,
    refused: f64,
    service: f64,
}

fn traffic(size: &Size, scenario: &Scenario) -> Traffic {
    let mean_tokens = size.rate as f64 / 12.0;
    Traffic {
        account: 0,
        requests_per_s: scenario.load * size.rate as f64 / mean_tokens,
        region_weights: scenario.weights.to_vec(),
        reserved_tokens: (mean_tokens as u64 / 5, mean_tokens as u64 * 9 / 5),
        used_permille: scenario.used_permille,
        run_us: (S / 2, 3 * S),
        until_us: u64::MAX,
    }
}

fn run_fleet(size: &Size, scenario: &Scenario, strategy: Strategy, seed: u64) -> Measured {
    let shares = match strategy {
        Strategy::GlobalHome => vec![1, 0, 0],
        _ => Vec::new(),
    };
    let plan = FleetPlan {
        seed,
        regions: REGIONS,
        vms_per_region: size.vms_per_region,
        accounts: vec![AccountPlan {
            rate: size.rate,
            burst: size.burst,
            shares,
        }],
    };
    let mut fleet = Fleet::new(&plan, LimitsSettings::default());
    fleet.run_for(WARM_UP_US);
    fleet.add_traffic(traffic(size, scenario));
    fleet.run_for(10 * S);
    match scenario.fault {
        Fault::None => {}
        Fault::HomePaused => {
            if let Some(home) = fleet.home_of(0, 0) {
                fleet.pause(home, 30 * S);
            }
        }
        Fault::RegionPartitioned => partition_region(&mut fleet, 1),
    }
    fleet.run_for(scenario.time_us);
    Measured {
        excess_tokens: fleet.meters[0].excess_tokens,
        refused: fleet.refused_in_rate(0, 0),
        service: fleet.service_ratio(0, 0),
    }
}

fn partition_region(fleet: &mut Fleet, region: usize) {
    let catalog = fleet.published.latest().clone();
    let region = catalog.vms[fleet.vm_in(region)].region;
    for vm in catalog.vms_in(region) {
        fleet.network.groups.insert(vm, 1);
    }
}

/// Runs one token bucket per VM, each with an equal share. Faults are not simulated: the buckets
/// exchange nothing, so the only effect would be that requests to a paused VM go to the others.
fn run_static(size: &Size, scenario: &Scenario, seed: u64) -> Measured {
    let mut rng = StdRng::seed_from_u64(seed);
    let vms = REGIONS * size.vms_per_region;
    let part = |tokens: u64| tokens / vms as u64;
    let mut buckets: Vec<IdealBucket> = (0..vms)
        .map(|_| IdealBucket::new(part(size.rate), part(size.burst)))
        .collect();
    let mut ideal = IdealBucket::new(size.rate, size.burst);
    let mut meter = ExcessMeter::new(size.rate, size.burst);
    let traffic = traffic(size, scenario);
    let mut refunds: std::collections::BTreeMap<(u64, u64), (Option<usize>, u64)> =
        std::collections::BTreeMap::new();
    let (mut now_us, mut id) = (WARM_UP_US, 0);
    let (mut inside, mut refused, mut ideal_tokens, mut admitted_tokens) = (0u64, 0u64, 0, 0);
    let end_us = now_us + 10 * S + scenario.time_us;
    while now_us < end_us {
        let gap_s = -(1.0 - rng.random::<f64>()).ln() / traffic.requests_per_s;
        now_us += 1 + (gap_s * 1e6) as u64;
        while let Some(entry) = refunds.first_entry() {
            if entry.key().0 > now_us {
                break;
            }
            let ((at_us, _), (vm, tokens)) = entry.remove_entry();
            match vm {
                Some(vm) => buckets[vm].fill(at_us, tokens),
                None => ideal.fill(at_us, tokens),
            }
        }
        let vm = pick_vm(&mut rng, &traffic.region_weights, size.vms_per_region);
        let reserved = rng.random_range(traffic.reserved_tokens.0..=traffic.reserved_tokens.1);
        let permille = rng.random_range(traffic.used_permille.0..=traffic.used_permille.1);
        let used = reserved * permille / 1_000;
        let done_us = now_us + rng.random_range(traffic.run_us.0..=traffic.run_us.1);
        let is_ideal = ideal.admit(now_us, reserved);
        let is_admitted = buckets[vm].admit(now_us, reserved);
        id += 2;
        if is_ideal {
            refunds.insert((done_us, id), (None, reserved - used));
            inside += 1;
            ideal_tokens += used;
            refused += u64::from(!is_admitted);
        }
        if is_admitted {
            refunds.insert((done_us, id + 1), (Some(vm), reserved - used));
            meter.add(now_us, used);
            admitted_tokens += used;
        }
    }
    Measured {
        excess_tokens: meter.excess_tokens,
        refused: refused as f64 / inside.max(1) as f64,
        service: admitted_tokens as f64 / ideal_tokens.max(1) as f64,
    }
}

fn pick_vm(rng: &mut StdRng, weights: &[u32], vms_per_region: usize) -> usize {
    let mut left = rng.random_range(0..weights.iter().sum::<u32>());
    let mut region = 0;
    while left >= weights[region] {
        left -= weights[region];
        region += 1;
    }
    region * vms_per_region + rng.random_range(0..vms_per_region)
}

fn measure(size: &Size, scenario: &Scenario, strategy: Strategy) -> Measured {
    let mut sum = Measured::default();
    for seed in 1..=SEEDS {
        let run = match strategy {
            Strategy::StaticShares => run_static(size, scenario, seed),
            _ => run_fleet(size, scenario, strategy, seed),
        };
        sum.excess_tokens = sum.excess_tokens.max(run.excess_tokens);
        sum.refused += run.refused / SEEDS as f64;
        sum.service += run.service / SEEDS as f64;
    }
    sum
}

fn main() {
    println!("| Fleet | Traffic | Way | Excess, tokens | Refused inside the rate | Tokens served of one perfect bucket |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for size in &SIZES {
        for scenario in &SCENARIOS {
            for (strategy, name) in STRATEGIES {
                let measured = measure(size, scenario, strategy);
                println!(
                    "| {} | {} | {} | {} | {:.2}% | {:.1}% |",
                    size.name,
                    scenario.name,
                    name,
                    measured.excess_tokens,
                    measured.refused * 100.0,
                    measured.service * 100.0,
                );
            }
        }
    }
}
