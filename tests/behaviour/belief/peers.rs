//! What a peer's digest confirms, and what a VM fetches because of it.

use std::time::Duration;

use figramp::belief::Belief;
use figramp::fleet::MessageDigest;

use super::support::at;
use super::support::configuration;
use super::support::listing;
use super::support::revision;

fn belief_with(version: u64, number: u64) -> Belief {
    let mut belief = Belief::default();
    belief.apply_configuration(configuration(version), Some(at(0)));
    belief.apply_store_listing(at(0), at(0), revision(number), listing(&["a"]));
    belief
}

#[test]
fn equal_content_is_confirmed_by_a_peer() {
    let mut peer = belief_with(7, 20);
    peer.apply_configuration(configuration(7), Some(at(900)));
    let digest = MessageDigest::new(&peer.digest(), at(1_000));
    let mut belief = belief_with(7, 20);
    let updates = belief.compare(at(1_000), &digest.received(Some(at(950))));
    assert!(!updates.has_newer_configuration);
    assert_eq!(
        belief.configuration_age(at(1_000)),
        Some(Duration::from_millis(150))
    );
}

#[test]
fn a_digest_delivered_late_confirms_as_of_the_time_of_the_request() {
    let mut peer = belief_with(7, 20);
    peer.apply_configuration(configuration(7), Some(at(1_000)));
    let digest = MessageDigest::new(&peer.digest(), at(1_000));
    let mut belief = belief_with(7, 20);
    // Requested at 1 s; the VM was suspended and reads the reply at 9 s.
    belief.compare(at(9_000), &digest.received(Some(at(1_000))));
    assert_eq!(
        belief.configuration_age(at(9_000)),
        Some(Duration::from_millis(8_000))
    );
}

#[test]
fn a_request_confirms_nothing() {
    let mut peer = belief_with(7, 20);
    peer.apply_configuration(configuration(7), Some(at(1_000)));
    let digest = MessageDigest::new(&peer.digest(), at(1_000));
    let mut belief = belief_with(7, 20);
    belief.compare(at(1_000), &digest.received(None));
    assert_eq!(
        belief.configuration_age(at(1_000)),
        Some(Duration::from_millis(1_000))
    );
}

#[test]
fn a_newer_version_of_a_peer_is_fetched_and_does_not_confirm_the_older_one() {
    let mut peer = belief_with(8, 21);
    peer.apply_configuration(configuration(8), Some(at(1_000)));
    let digest = MessageDigest::new(&peer.digest(), at(1_000));
    let mut belief = belief_with(7, 20);
    let updates = belief.compare(at(1_000), &digest.received(Some(at(1_000))));
    assert!(updates.has_newer_configuration);
    assert_eq!(
        belief.configuration_age(at(1_000)),
        Some(Duration::from_millis(1_000))
    );
}

#[test]
fn an_older_listing_of_a_peer_changes_nothing() {
    let mut belief = belief_with(7, 20);
    assert!(!belief.apply_peer_listing(at(10), at(10), revision(19), listing(&["b"])));
    assert_eq!(belief.listing().endpoints.len(), 1);
    assert_eq!(belief.listing().endpoints[0].instance.id.as_str(), "a");
    assert!(belief.apply_peer_listing(at(10), at(10), revision(21), listing(&["b"])));
}
