//! Measures fair queues against first come, first served.
//!
//! Run by `cargo bench --bench fairness_policy`; virtual time, fixed seeds.

#[allow(dead_code)]
mod policy_model;
#[allow(dead_code)]
#[path = "../tests/behaviour/routing/published.rs"]
mod published;

use std::time::Duration;

use figramp::catalog::WorkClass;

use policy_model::demand;
use policy_model::demand::Request;
use policy_model::demand::Stream;
use policy_model::region_site::Size;
use policy_model::region_site::BLOOMPLAN;
use policy_model::region_site::CONSORCIO;
use policy_model::results;
use policy_model::results::Outcome;
use policy_model::results::Results;
use policy_model::run::Model;
use policy_model::run::Policy;
use policy_model::run::Setup;

const DURATION_S: u64 = 90;
const WARM_UP_S: u64 = 20;
const SEEDS: [u64; 2] = [1, 2];
/// The part of the capacity that all accounts together ask for at their own shares.
const SHARES_OF_CAPACITY: f64 = 0.8;
const MULTIPLES: [f64; 3] = [2.0, 3.0, 5.0];
const SHORT_PER_S_OF_ENGINE: f64 = 6.0;
const LONG_PER_S_OF_ENGINE: f64 = 0.8;

type Row<'a> = (&'a Request, &'a Outcome);

fn short_stream(account: usize, region: usize, per_s: f64) -> Stream {
    Stream {
        account,
        region,
        class: WorkClass::Interactive,
        per_s,
        shared_tokens: 512,
        document_tokens: 256,
        document_count: 20,
        question_tokens: 100,
        answer_tokens: 100,
    }
}

fn long_stream(account: usize, region: usize, per_s: f64) -> Stream {
    Stream {
        class: WorkClass::Long,
        shared_tokens: 1_024,
        document_tokens: 2_048,
        document_count: 40,
        question_tokens: 1_000,
        answer_tokens: 600,
        ..short_stream(account, region, per_s)
    }
}

/// Short work only; the first account asks for a multiple of its share.
fn one_heavy_account(size: Size, multiple: f64) -> Vec<Stream> {
    let mut streams = Vec::new();
    for region in 0..3 {
        let capacity = size.engines[region] as f64 * SHORT_PER_S_OF_ENGINE;
        let share = SHARES_OF_CAPACITY * capacity / size.accounts as f64;
        for account in 0..size.accounts {
            let times = if account == 0 { multiple } else { 1.0 };
            streams.push(short_stream(account, region, share * times));
        }
    }
    streams
}

/// Short work of all accounts beside long work at a multiple of the capacity.
fn short_beside_long(size: Size, multiple: f64) -> Vec<Stream> {
    let mut streams = Vec::new();
    for region in 0..3 {
        let engines = size.engines[region] as f64;
        for account in 0..size.accounts {
            let part = engines / size.accounts as f64;
            streams.push(short_stream(
                account,
                region,
                0.3 * part * SHORT_PER_S_OF_ENGINE,
            ));
            streams.push(long_stream(
                account,
                region,
                multiple * part * LONG_PER_S_OF_ENGINE,
            ));
        }
    }
    streams
}

fn run(size: Size, streams: &[Stream], is_fair: bool, seed: u64) -> Results {
    let setup = Setup {
        size,
        policy: Policy::Return,
        is_fair,
        do_refused_come_back: true,
        short_start_by: Duration::from_secs(2),
        long_start_by: Duration::from_secs(20),
        has_reports: true,
        changes: Vec::new(),
        seed,
    };
    let requests = demand::requests(streams, DURATION_S as f64, seed);
    Model::new(setup, requests).run(DURATION_S)
}

fn runs(size: Size, streams: &[Stream], is_fair: bool) -> Vec<Results> {
    SEEDS
        .iter()
        .map(|seed| run(size, streams, is_fair, *seed))
        .collect()
}

fn rows(runs: &[Results], class: WorkClass) -> Vec<Row<'_>> {
    runs.iter()
        .flat_map(|run| run.between(class, WARM_UP_S, DURATION_S))
        .collect()
}

fn of_account<'a>(rows: &[Row<'a>], account: usize) -> Vec<Row<'a>> {
    rows.iter()
        .filter(|(request, _)| request.account == account)
        .copied()
        .collect()
}

/// Returns the part of the requests served at the first try, in percent.
fn first_try_percent(rows: &[Row<'_>]) -> f64 {
    let served = rows
        .iter()
        .filter(|(_, outcome)| outcome.is_done && outcome.refusals == 0)
        .count();
    results::percent(served as f64, rows.len() as f64)
}

/// Returns the part of the requests that came back when told, while the load went on, and were served
/// then, in percent.
fn served_on_return_percent(rows: &[Row<'_>]) -> f64 {
    let end_us = DURATION_S * 1_000_000;
    let came_back = || {
        rows.iter()
            .filter(|(_, outcome)| outcome.refusals > 0 && outcome.back_at_us < end_us)
    };
    let served = came_back().filter(|(_, outcome)| outcome.is_done).count();
    results::percent(served as f64, came_back().count() as f64)
}

fn late_percent(rows: &[Row<'_>]) -> f64 {
    let late = rows
        .iter()
        .filter(|(_, outcome)| outcome.late_refusals > 0)
        .count();
    results::percent(late as f64, rows.len() as f64)
}

/// Returns the rows that were served at the first try, whose times tell the wait.
fn first_tries<'a>(rows: &[Row<'a>]) -> Vec<Row<'a>> {
    rows.iter()
        .filter(|(_, outcome)| outcome.refusals == 0)
        .copied()
        .collect()
}

fn print_heavy(size: Size, multiple: f64, is_fair: bool) {
    let runs = runs(size, &one_heavy_account(size, multiple), is_fair);
    let all = rows(&runs, WorkClass::Interactive);
    let accounts: Vec<Vec<Row<'_>>> = (0..size.accounts)
        .map(|account| of_account(&all, account))
        .collect();
    let others: Vec<Row<'_>> = accounts[1..].concat();
    let worst = accounts[1..]
        .iter()
        .map(|rows| first_try_percent(rows))
        .fold(f64::INFINITY, f64::min);
    let worst_p99 = accounts[1..]
        .iter()
        .map(|rows| results::first_token_ms(&first_tries(rows), 990))
        .max()
        .unwrap_or_default();
    println!(
        "| {multiple} | {} | {:.1} | {} | {:.1} | {worst_p99} | {:.1} | {:.1} | {:.1} |",
        name(is_fair),
        first_try_percent(&others),
        results::first_token_ms(&first_tries(&others), 950),
        worst,
        first_try_percent(&accounts[0]),
        served_on_return_percent(&all),
        late_percent(&all),
    );
}

fn print_beside_long(size: Size, multiple: f64, is_fair: bool) {
    let runs = runs(size, &short_beside_long(size, multiple), is_fair);
    for class in [WorkClass::Interactive, WorkClass::Long] {
        let rows = rows(&runs, class);
        let tries = first_tries(&rows);
        println!(
            "| {multiple} | {} | {class:?} | {:.1} | {} | {} | {} | {:.1} | {:.1} |",
            name(is_fair),
            first_try_percent(&rows),
            results::first_token_ms(&tries, 500),
            results::first_token_ms(&tries, 950),
            results::first_token_ms(&tries, 990),
            served_on_return_percent(&rows),
            late_percent(&rows),
        );
    }
}

fn name(is_fair: bool) -> &'static str {
    if is_fair {
        "fair"
    } else {
        "first come"
    }
}

fn main() {
    for size in [BLOOMPLAN, CONSORCIO] {
        println!(
            "\n### {}, one account at a multiple of its share\n",
            size.name
        );
        println!("| multiple | queue | others served % | others p95 ms | worst served % | worst p99 ms | heavy served % | served on return % | held, then refused % |");
        println!("|---|---|---|---|---|---|---|---|---|");
        for multiple in MULTIPLES {
            for is_fair in [false, true] {
                print_heavy(size, multiple, is_fair);
            }
        }
        println!("\n### {}, short work beside long work\n", size.name);
        println!("| long work over capacity | queue | class | served % | p50 ms | p95 ms | p99 ms | served on return % | held, then refused % |");
        println!("|---|---|---|---|---|---|---|---|---|");
        for multiple in [0.5, 1.5, 3.0] {
            for is_fair in [false, true] {
                print_beside_long(size, multiple, is_fair);
            }
        }
    }
}
