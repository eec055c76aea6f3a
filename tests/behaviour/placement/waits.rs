//! The expected wait at an endpoint follows the answers and loads that a VM observes.

use super::support::answer;
use super::support::choose;
use super::support::table;
use crate::belief::support::at;

#[test]
fn a_slow_endpoint_is_left_for_a_fast_one_and_tried_again_later() {
    let mut table = table(at(0), &["a", "b"]);
    let slow = choose(&mut table, at(0)).expect("an endpoint");
    for ms in 0..10 {
        answer(&mut table, at(ms), &slow, 900);
    }
    assert_ne!(
        choose(&mut table, at(1_000)).expect("an endpoint").endpoint,
        slow.endpoint
    );
    let other = choose(&mut table, at(1_000)).expect("an endpoint");
    for ms in 1_000..1_020 {
        answer(&mut table, at(ms), &other, 60);
    }
    let later = choose(&mut table, at(12_000)).expect("an endpoint");
    assert!(later.expected_ms < 100.0, "{}", later.expected_ms);
}

#[test]
fn pending_requests_raise_the_expected_wait_before_any_answer() {
    let mut table = table(at(0), &["a"]);
    let placement = choose(&mut table, at(0)).expect("an endpoint");
    table.on_sent(at(0), &placement);
    let expected_ms = choose(&mut table, at(1_500))
        .expect("an endpoint")
        .expected_ms;
    assert!(expected_ms >= 1_400.0, "{expected_ms}");
    table.on_abandoned(&placement);
    table.on_done(&placement);
    let expected_ms = choose(&mut table, at(1_500))
        .expect("an endpoint")
        .expected_ms;
    assert!(expected_ms < 100.0, "{expected_ms}");
}

#[test]
fn the_load_from_other_vms_counts() {
    let mut table = table(at(0), &["a", "b"]);
    let first = choose(&mut table, at(0)).expect("an endpoint");
    table.on_load(at(0), first.endpoint, 8, 20);
    let placement = choose(&mut table, at(10)).expect("an endpoint");
    assert_ne!(placement.endpoint, first.endpoint);
    assert!(table.get(first.endpoint).expect("listed").is_busy(at(10)));
    assert!(!table
        .get(first.endpoint)
        .expect("listed")
        .is_busy(at(5_000)));
}

#[test]
fn a_pending_request_leaves_a_short_wait_as_it_is() {
    let mut table = table(at(0), &["a"]);
    let placement = choose(&mut table, at(0)).expect("an endpoint");
    for ms in 0..20 {
        answer(&mut table, at(ms), &placement, 5);
    }
    let before = choose(&mut table, at(20)).expect("an endpoint");
    table.on_sent(at(20), &before);
    let after = choose(&mut table, at(21)).expect("an endpoint");
    assert!(after.expected_ms < 2.0 * before.expected_ms, "{after:?}");
}
