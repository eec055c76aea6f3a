//! Many VMs place requests whose prompts share parts at two levels: a few first parts that all
//! requests share, and many second parts.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashSet;
use std::time::Duration;

use figramp::placement::AttemptOutcome;
use figramp::placement::EndpointTable;
use figramp::placement::Placement;
use figramp::placement::PlacementQuery;
use figramp::placement::PrefixOwner;
use figramp::placement::PromptPart;
use figramp::placement::PromptPrefix;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;

use super::support::query;
use super::support::service;
use super::support::table;
use crate::belief::support::at;

const VM_COUNT: usize = 40;
const ENDPOINT_COUNT: usize = 20;
const FIRST_PARTS: u64 = 4;
const SECOND_PARTS: u64 = 100;
const FIRST_TOKENS: u64 = 2_500;
const SECOND_TOKENS: u64 = 3_800;
const OWN_TOKENS: u64 = 2_900;

/// The speed at which an endpoint prefills.
const TOKENS_PER_MS: u64 = 40;

/// Two fifths of what the endpoints prefill if every shared part is cached.
const REQUESTS_PER_S: u64 = ENDPOINT_COUNT as u64 * TOKENS_PER_MS * 1_000 / OWN_TOKENS * 2 / 5;

const SIMULATED_MS: u64 = 20_000;

/// The time in which the caches fill.
const WARM_UP_MS: u64 = 5_000;

const TARGET_MS: u64 = 1_000;

/// An endpoint that prefills one prompt after another and caches the shared parts.
#[derive(Default)]
struct Engine {
    free_at_ms: u64,
    cached: HashSet<u64>,
}

impl Engine {
    fn prefill(&mut self, now_ms: u64, prefix: &[PromptPart]) -> u64 {
        let missing = prefix.iter().filter(|part| self.cached.insert(part.hash));
        let tokens = OWN_TOKENS + missing.map(|part| part.tokens).sum::<u64>();
        self.free_at_ms = self.free_at_ms.max(now_ms) + tokens / TOKENS_PER_MS;
        self.free_at_ms - now_ms
    }
}

fn draw_prefix(rng: &mut StdRng) -> Vec<PromptPart> {
    let second = rng.random_range(0..SECOND_PARTS);
    vec![
        PromptPart {
            hash: second % FIRST_PARTS,
            tokens: FIRST_TOKENS,
        },
        PromptPart {
            hash: 1_000 + second,
            tokens: SECOND_TOKENS,
        },
    ]
}

fn index_of(table: &EndpointTable, placement: &Placement) -> usize {
    let id = table.get(placement.endpoint).expect("listed").record();
    id.instance.id.as_str()[1..].parse().expect("a number")
}

/// Simulates the load and returns the time to the first event of each request after the warm-up.
fn simulate(seed: u64) -> Vec<u64> {
    let ids: Vec<String> = (0..ENDPOINT_COUNT).map(|id| format!("e{id}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut vms: Vec<EndpointTable> = (0..VM_COUNT).map(|_| table(at(0), &ids)).collect();
    let mut engines: Vec<Engine> = (0..ENDPOINT_COUNT).map(|_| Engine::default()).collect();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut answers = BinaryHeap::new();
    let mut sent = Vec::new();
    let mut latencies_ms = Vec::new();
    let service = service();
    for now_ms in 0..SIMULATED_MS {
        while let Some(Reverse((at_ms, number))) = answers.peek().copied() {
            if at_ms > now_ms {
                break;
            }
            answers.pop();
            let (vm, placement, latency_ms): (usize, Placement, u64) = sent[number];
            let latency = Duration::from_millis(latency_ms);
            let outcome = AttemptOutcome::Answered { latency };
            vms[vm].on_outcome(at(now_ms), &placement, outcome);
            vms[vm].on_done(&placement);
        }
        if rng.random_range(0..1_000) >= REQUESTS_PER_S {
            continue;
        }
        let vm = rng.random_range(0..VM_COUNT);
        let parts = draw_prefix(&mut rng);
        let prefix = PromptPrefix::new(parts.clone());
        let key = prefix.affinity_key().expect("shared parts");
        let owner = vms[vm].prefix_owner(at(now_ms), &service, key, |_| true);
        let query = PlacementQuery {
            prompt_tokens: prefix.tokens() + OWN_TOKENS,
            prefix_tokens: prefix.tokens(),
            prefix_endpoint: owner.and_then(PrefixOwner::local),
            draw: rng.random(),
            ..query(&service, &[])
        };
        let chosen = vms[vm].choose(at(now_ms), &query, 0.0, |_, _| true);
        let placement = chosen.expect("an endpoint");
        vms[vm].on_sent(at(now_ms), &placement);
        let endpoint = index_of(&vms[vm], &placement);
        let latency_ms = engines[endpoint].prefill(now_ms, &parts);
        answers.push(Reverse((now_ms + latency_ms, sent.len())));
        sent.push((vm, placement, latency_ms));
        if now_ms >= WARM_UP_MS {
            latencies_ms.push(latency_ms);
        }
    }
    latencies_ms
}

#[test]
fn at_two_fifths_of_the_capacity_few_requests_are_late() {
    let mut latencies_ms = simulate(1);
    latencies_ms.sort_unstable();
    let quantile = |permille: usize| latencies_ms[latencies_ms.len() * permille / 1_000];
    println!("latency ms: p50 {}, p99 {}", quantile(500), quantile(990));
    assert!(quantile(990) <= TARGET_MS);
}

fn prefix(tokens: &[u64]) -> PromptPrefix {
    let parts = (1..).zip(tokens);
    PromptPrefix::new(
        parts
            .map(|(hash, tokens)| PromptPart {
                hash,
                tokens: *tokens,
            })
            .collect(),
    )
}

#[test]
fn the_affinity_key_is_the_part_up_to_which_most_of_the_prefix_lies() {
    assert_eq!(prefix(&[]).affinity_key(), None);
    assert_eq!(prefix(&[0]).affinity_key(), Some(1));
    assert_eq!(prefix(&[13_300]).affinity_key(), Some(1));
    assert_eq!(prefix(&[13_300, 50]).affinity_key(), Some(1));
    assert_eq!(prefix(&[2_520, 3_780]).affinity_key(), Some(2));
    assert_eq!(prefix(&[800, 410, 250]).affinity_key(), Some(2));
}
