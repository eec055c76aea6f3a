//! Large configurations in quick succession are fetched once, and between zones by one VM.

use std::time::Duration;

use figramp::fleet::ConfigurationFetch;
use figramp::fleet::PeerDistance;

use super::support::row;
use super::support::view;
use crate::belief::support::at;

#[test]
fn one_fetch_runs_at_a_time_whoever_has_something_newer() {
    let mut fetch = ConfigurationFetch::default();
    assert!(fetch.try_start(at(0), PeerDistance::SameZone, true));
    for ms in (0..60_000).step_by(100) {
        assert!(!fetch.try_start(at(ms), PeerDistance::SameZone, true));
    }
    fetch.on_ended(false);
    assert!(fetch.try_start(at(60_000), PeerDistance::SameZone, true));
}

#[test]
fn a_peer_of_the_zone_is_asked_at_once_and_others_only_if_none_has_it_in_time() {
    let mut fetch = ConfigurationFetch::default();
    assert!(!fetch.try_start(at(0), PeerDistance::SameRegion, false));
    assert!(!fetch.try_start(at(0), PeerDistance::OtherRegion, false));
    assert!(!fetch.try_start(at(800), PeerDistance::SameRegion, false));
    assert!(!fetch.try_start(at(1_400), PeerDistance::OtherRegion, false));
    assert!(fetch.try_start(at(1_400), PeerDistance::SameRegion, false));
    fetch.on_ended(true);
    assert!(!fetch.try_start(at(2_000), PeerDistance::SameRegion, false));
    assert!(fetch.try_start(at(2_000), PeerDistance::SameZone, false));
}

#[test]
fn the_vm_that_fetches_for_its_zone_does_not_wait_for_the_region() {
    let mut fetch = ConfigurationFetch::default();
    assert!(!fetch.try_start(at(0), PeerDistance::OtherRegion, true));
    assert!(fetch.try_start(at(0), PeerDistance::SameRegion, true));
}

#[test]
fn every_vm_fetches_within_the_time_for_a_configuration_if_only_one_region_has_it() {
    let mut fetch = ConfigurationFetch::default();
    let started_at = (0..)
        .step_by(300)
        .find(|ms| fetch.try_start(at(*ms), PeerDistance::OtherRegion, false));
    assert!(started_at.is_some_and(|ms| Duration::from_millis(ms) <= Duration::from_secs(2)));
}

#[test]
fn one_vm_of_a_zone_fetches_for_it() {
    let numbers: Vec<u8> = (1..=30).collect();
    let mut fetchers = Vec::new();
    for number in &numbers {
        let mut view = view(*number);
        for other in &numbers {
            view.merge(at(0), &row(*other, 1), false);
        }
        if view.fetches_for_zone(at(0)) {
            fetchers.push(number % 3);
        }
    }
    fetchers.sort_unstable();
    assert_eq!(fetchers, [0, 1, 2]);
}
