//! Compares the gateway's choice of an endpoint with random choice and least outstanding requests.
//!
//! Run with `cargo bench --bench routing_policy`; names of policies after `--` select some of them.
//! Uses virtual time and fixed seeds.

#[allow(dead_code)]
mod policy_model;
#[allow(dead_code)]
#[path = "../tests/behaviour/routing/published.rs"]
mod published;

use std::time::Duration;

use figramp::catalog::WorkClass;

use policy_model::demand;
use policy_model::demand::Stream;
use policy_model::region_site::Size;
use policy_model::region_site::BLOOMPLAN;
use policy_model::region_site::CONSORCIO;
use policy_model::results;
use policy_model::results::Results;
use policy_model::run::Change;
use policy_model::run::Model;
use policy_model::run::Policy;
use policy_model::run::Setup;

const DURATION_S: u64 = 180;
const WARM_UP_S: u64 = 30;
const SEEDS: [u64; 3] = [1, 2, 3];
const POLICIES: [Policy; 5] = [
    Policy::Random,
    Policy::LeastOutstanding,
    Policy::LeastAnywhere,
    Policy::Return,
    Policy::Chain,
];

struct Scenario {
    name: &'static str,
    /// The load of each region, as a fraction of its capacity.
    demand: [f64; 3],
    /// The first account's fraction of the load; its requests share one prefix.
    first_account_share: f64,
    has_reports: bool,
    changes: fn(Size) -> Vec<(u64, usize, Change)>,
}

const EQUAL_SHARE: f64 = 0.2;

const SCENARIOS: [Scenario; 6] = [
    Scenario {
        name: "one hot prefix, no load reports",
        demand: [0.9, 0.6, 0.4],
        first_account_share: 0.7,
        has_reports: false,
        changes: |_| Vec::new(),
    },
    Scenario {
        name: "one hot prefix",
        demand: [0.8, 0.6, 0.4],
        first_account_share: 0.7,
        has_reports: true,
        changes: |_| Vec::new(),
    },
    Scenario {
        name: "offset peaks",
        demand: [0.9, 0.6, 0.4],
        first_account_share: EQUAL_SHARE,
        has_reports: true,
        changes: |_| Vec::new(),
    },
    Scenario {
        name: "first region over its capacity",
        demand: [1.3, 0.5, 0.3],
        first_account_share: EQUAL_SHARE,
        has_reports: true,
        changes: |_| Vec::new(),
    },
    Scenario {
        name: "first region loses half, back cold",
        demand: [0.7, 0.5, 0.4],
        first_account_share: EQUAL_SHARE,
        has_reports: true,
        changes: lose_half,
    },
    Scenario {
        name: "a slow endpoint",
        demand: [0.7, 0.5, 0.4],
        first_account_share: EQUAL_SHARE,
        has_reports: true,
        changes: |_| vec![(30, 0, Change::Slow(4))],
    },
];

fn lose_half(size: Size) -> Vec<(u64, usize, Change)> {
    let lost = size.engines[0] / 2;
    (0..lost)
        .flat_map(|engine| [(60, engine, Change::Down), (120, engine, Change::Up)])
        .collect()
}

/// Creates streams that load each region with a fraction of the capacity of its engines.
fn streams(size: Size, scenario: &Scenario) -> Vec<Stream> {
    let mut streams = Vec::new();
    for (region, part) in scenario.demand.into_iter().enumerate() {
        let engines = size.engines[region] as f64;
        for account in 0..size.accounts {
            let others = (1.0 - scenario.first_account_share) / (size.accounts - 1) as f64;
            let share = match account {
                0 => scenario.first_account_share,
                _ => others,
            };
            let tips = Stream {
                account,
                region,
                class: WorkClass::Interactive,
                per_s: part * engines * 4.0 * share,
                shared_tokens: 512,
                document_tokens: 1_024,
                document_count: 20,
                question_tokens: 100,
                answer_tokens: 100,
            };
            let reviews = Stream {
                class: WorkClass::Long,
                per_s: part * engines * 0.4 * share,
                shared_tokens: 1_024,
                document_tokens: 2_048,
                document_count: 40,
                question_tokens: 1_000,
                answer_tokens: 600,
                ..tips.clone()
            };
            streams.push(tips);
            streams.push(reviews);
        }
    }
    streams
}

fn run(size: Size, scenario: &Scenario, policy: Policy, seed: u64) -> Results {
    let setup = Setup {
        size,
        policy,
        is_fair: true,
        retries_refused: false,
        interactive_wait_max: Duration::from_secs(3),
        long_wait_max: Duration::from_secs(20),
        has_reports: scenario.has_reports,
        changes: (scenario.changes)(size),
        seed,
    };
    let requests = demand::requests(&streams(size, scenario), DURATION_S as f64, seed);
    Model::new(setup, requests).run(DURATION_S)
}

fn main() {
    let selected: Vec<String> = std::env::args().skip(1).collect();
    let mut policies = POLICIES.to_vec();
    if POLICIES
        .iter()
        .any(|policy| selected.contains(&format!("{policy:?}")))
    {
        policies.retain(|policy| selected.contains(&format!("{policy:?}")));
    }
    for size in [BLOOMPLAN, CONSORCIO] {
        for scenario in &SCENARIOS {
            println!("\n### {}, {}\n", size.name, scenario.name);
            println!("| policy | class | first token p50 ms | p95 ms | p99 ms | served % | other region % | cached % |");
            println!("|---|---|---|---|---|---|---|---|");
            for policy in policies.iter().copied() {
                let runs: Vec<Results> = SEEDS
                    .iter()
                    .map(|seed| run(size, scenario, policy, *seed))
                    .collect();
                for class in [WorkClass::Interactive, WorkClass::Long] {
                    print_row(policy, class, &runs);
                }
            }
        }
    }
}

fn print_row(policy: Policy, class: WorkClass, runs: &[Results]) {
    let rows: Vec<_> = runs
        .iter()
        .flat_map(|run| run.between(class, WARM_UP_S, DURATION_S))
        .collect();
    println!(
        "| {policy:?} | {class:?} | {} | {} | {} | {:.1} | {:.1} | {:.1} |",
        results::first_token_ms(&rows, 500),
        results::first_token_ms(&rows, 950),
        results::first_token_ms(&rows, 990),
        results::served_percent(&rows),
        results::forwarded_percent(&rows),
        results::cached_percent(&rows),
    );
}
