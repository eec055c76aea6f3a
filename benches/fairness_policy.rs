//! Compares fair queues with first come, first served.
//!
//! Run with `cargo bench --bench fairness_policy`; uses virtual time and fixed seeds.

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
/// The fraction of the capacity that is requested when every account sends its share.
const SHARES_OF_CAPACITY: f64 = 0.8;
const MULTIPLES: [f64; 3] = [2.0, 3.0, 5.0];
const INTERACTIVE_PER_S_OF_ENGINE: f64 = 6.0;
const LONG_PER_S_OF_ENGINE: f64 = 0.8;

type Row<'a> = (&'a Request, &'a Outcome);

fn interactive_stream(account: usize, region: usize, per_s: f64) -> Stream {
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
        ..interactive_stream(account, region, per_s)
    }
}

/// Interactive requests only; the first account sends a multiple of its share.
fn one_heavy_account(size: Size, multiple: f64) -> Vec<Stream> {
    let mut streams = Vec::new();
    for region in 0..3 {
        let capacity = size.engines[region] as f64 * INTERACTIVE_PER_S_OF_ENGINE;
        let share = SHARES_OF_CAPACITY * capacity / size.accounts as f64;
        for account in 0..size.accounts {
            let factor = if account == 0 { multiple } else { 1.0 };
            streams.push(interactive_stream(account, region, share * factor));
        }
    }
    streams
}

/// Interactive requests of all accounts beside long requests at a multiple of the capacity.
fn interactive_beside_long(size: Size, multiple: f64) -> Vec<Stream> {
    let mut streams = Vec::new();
    for region in 0..3 {
        let engines = size.engines[region] as f64;
        for account in 0..size.accounts {
            let part = engines / size.accounts as f64;
            streams.push(interactive_stream(
                account,
                region,
                0.3 * part * INTERACTIVE_PER_S_OF_ENGINE,
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
        retries_refused: true,
        interactive_wait_max: Duration::from_secs(2),
        long_wait_max: Duration::from_secs(20),
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

/// Returns the percentage of requests served at the first attempt.
fn first_attempt_percent(rows: &[Row<'_>]) -> f64 {
    let served = rows
        .iter()
        .filter(|(_, outcome)| outcome.is_done && outcome.refusals == 0)
        .count();
    results::percent(served as f64, rows.len() as f64)
}

/// Returns the percentage of requests served at the retry, out of those that were refused and
/// retried before the end of the load.
fn served_on_retry_percent(rows: &[Row<'_>]) -> f64 {
    let end_us = DURATION_S * 1_000_000;
    let retried = || {
        rows.iter()
            .filter(|(_, outcome)| outcome.refusals > 0 && outcome.retry_at_us < end_us)
    };
    let served = retried().filter(|(_, outcome)| outcome.is_done).count();
    results::percent(served as f64, retried().count() as f64)
}

fn queue_refusal_percent(rows: &[Row<'_>]) -> f64 {
    let refused = rows
        .iter()
        .filter(|(_, outcome)| outcome.queue_refusals > 0)
        .count();
    results::percent(refused as f64, rows.len() as f64)
}

/// Returns the rows that were never refused, whose times show the wait in the queue.
fn first_attempts<'a>(rows: &[Row<'a>]) -> Vec<Row<'a>> {
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
        .map(|rows| first_attempt_percent(rows))
        .fold(f64::INFINITY, f64::min);
    let worst_p99 = accounts[1..]
        .iter()
        .map(|rows| results::first_token_ms(&first_attempts(rows), 990))
        .max()
        .unwrap_or_default();
    println!(
        "| {multiple} | {} | {:.1} | {} | {:.1} | {worst_p99} | {:.1} | {:.1} | {:.1} |",
        name(is_fair),
        first_attempt_percent(&others),
        results::first_token_ms(&first_attempts(&others), 950),
        worst,
        first_attempt_percent(&accounts[0]),
        served_on_retry_percent(&all),
        queue_refusal_percent(&all),
    );
}

fn print_beside_long(size: Size, multiple: f64, is_fair: bool) {
    let runs = runs(size, &interactive_beside_long(size, multiple), is_fair);
    for class in [WorkClass::Interactive, WorkClass::Long] {
        let rows = rows(&runs, class);
        let attempts = first_attempts(&rows);
        println!(
            "| {multiple} | {} | {class:?} | {:.1} | {} | {} | {} | {:.1} | {:.1} |",
            name(is_fair),
            first_attempt_percent(&rows),
            results::first_token_ms(&attempts, 500),
            results::first_token_ms(&attempts, 950),
            results::first_token_ms(&attempts, 990),
            served_on_retry_percent(&rows),
            queue_refusal_percent(&rows),
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
