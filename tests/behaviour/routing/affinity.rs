//! Prefix affinity: requests with one prefix go to one endpoint, unless it is too loaded.

use std::time::Duration;

use figramp::clock::Monotonic;
use figramp::endpoint::CacheEvent;
use figramp::request::CallBody;
use figramp::routing::EndpointFailure;
use figramp::routing::PrefixTable;
use figramp::routing::RouteChoice;

use super::load_reports::Site;

const START: Monotonic = Monotonic::from_ms(10_000);
const PROMPT_TOKENS: u64 = 4_000;

fn site_with_prefixes() -> Site {
    let mut site = Site::new();
    if let CallBody::Completion(completion) = &mut site.call.body {
        completion.prompt_tokens = PROMPT_TOKENS;
        completion.prefix_hashes = vec![11, 22, 33, 44];
    }
    site
}

fn event(sequence: u64, prefix_hash: u64, is_stored: bool) -> CacheEvent {
    CacheEvent {
        sequence,
        prefix_hash,
        is_stored,
    }
}

#[test]
fn requests_with_one_prefix_go_to_one_endpoint() {
    let mut site = site_with_prefixes();
    let first = site.choose(START).unwrap().choice;
    for _ in 0..50 {
        assert_eq!(site.choose(START).unwrap().choice, first);
    }
}

#[test]
fn a_loaded_endpoint_is_not_chosen_despite_prefix_affinity() {
    let mut site = site_with_prefixes();
    let RouteChoice::Local(first) = site.choose(START).unwrap().choice else {
        panic!("the call is not routed locally");
    };
    let load = site.loads.get(first).unwrap().clone();
    let mut heavy = site.call.clone();
    if let CallBody::Completion(completion) = &mut heavy.body {
        completion.prompt_tokens = 10 * PROMPT_TOKENS;
        completion.prefix_hashes.clear();
    }
    load.on_sent(START, &heavy);
    let RouteChoice::Local(other) = site.choose(START).unwrap().choice else {
        panic!("the call is not routed locally");
    };
    assert_ne!(other, first);
}

#[test]
fn known_prefixes_follow_events_and_answers_and_survive_gaps() {
    let site = site_with_prefixes();
    let load = site.load("north-tips-0");
    let hashes = [11, 22, 33, 44];
    load.on_cache_events(2, &[event(1, 11, true), event(2, 22, true)]);
    assert_eq!(
        load.uncached_tokens(PROMPT_TOKENS, &hashes),
        PROMPT_TOKENS / 2
    );
    load.on_cache_events(9, &[event(9, 22, false)]);
    assert_eq!(load.prefixes().matching_len(&hashes), 1);
    load.on_cache_events(3, &[]);
    assert_eq!(load.prefixes().matching_len(&hashes), 0);
    let attempt = load.on_sent(START, &site.call);
    assert_eq!(load.prefixes().matching_len(&hashes), 4);
    load.on_failed(
        START + Duration::from_secs(1),
        attempt,
        EndpointFailure::Broken,
    );
    assert_eq!(load.prefixes().matching_len(&hashes), 0);
}

#[test]
fn the_prefix_table_is_bounded_and_keeps_recent_prefixes() {
    let table = PrefixTable::default();
    for hash in 1..=100_000 {
        table.insert(hash);
    }
    let known = (1..=100_000).filter(|hash| table.contains(*hash)).count();
    assert_eq!(known, 1_024);
    assert!(table.contains(100_000));
    table.remove(100_000);
    assert!(!table.contains(100_000));
    table.clear();
    assert!(!table.contains(99_999));
}
