//! When a VM counts as cut off from the endpoints of its region.

use figramp::clock::Monotonic;
use figramp::placement::EndpointKey;
use figramp::placement::EndpointReach;
use figramp::placement::ProbeOutcome;
use slotmap::KeyData;

const ENDPOINT_COUNT: usize = 3;

const fn at(ms: u64) -> Monotonic {
    Monotonic::from_ms(ms)
}

/// Returns a VM that failed to reach two endpoints, without any other sign of life.
fn suspecting() -> EndpointReach {
    let mut reach = EndpointReach::default();
    for number in 1..=2 {
        reach.on_failed(EndpointKey::from(KeyData::from_ffi(number)));
    }
    reach
}

#[test]
fn a_vm_is_not_cut_off_before_a_probe() {
    let reach = suspecting();
    assert!(reach.is_probe_due(at(0), ENDPOINT_COUNT));
    assert!(!reach.is_cut_off());
}

#[test]
fn a_sign_of_life_ends_the_suspicion() {
    let mut reach = suspecting();
    reach.on_sign_of_life();
    assert!(!reach.is_probe_due(at(0), ENDPOINT_COUNT));
}

#[test]
fn requests_without_any_answer_raise_it_only_after_the_silence_of_a_sound_endpoint() {
    let mut reach = EndpointReach::default();
    reach.on_sent(at(0));
    reach.on_sent(at(900));
    assert!(!reach.is_probe_due(at(1_000), ENDPOINT_COUNT));
    assert!(reach.is_probe_due(at(1_300), ENDPOINT_COUNT));
}

#[test]
fn a_failed_probe_cuts_off_until_one_is_answered() {
    let mut reach = suspecting();
    reach.on_probe(at(0));
    assert!(reach.on_probed(ProbeOutcome::Unreachable));
    assert!(reach.is_unreachable());
    assert!(!reach.is_probe_due(at(300), ENDPOINT_COUNT));
    assert!(reach.is_probe_due(at(500), ENDPOINT_COUNT));
    reach.on_probed(ProbeOutcome::Answered);
    assert!(!reach.is_cut_off());
    assert!(!reach.is_probe_due(at(1_000), ENDPOINT_COUNT));
}

#[test]
fn a_silent_probe_does_not_count_as_unreachable() {
    let mut reach = suspecting();
    assert!(reach.on_probed(ProbeOutcome::Silent));
    assert!(reach.is_cut_off());
    assert!(!reach.is_unreachable());
}

#[test]
fn a_region_without_endpoints_is_not_probed() {
    assert!(!EndpointReach::default().is_probe_due(at(9_000), 0));
}
