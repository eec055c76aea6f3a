//! A store that is restored from a backup some seconds old, and assigns revisions again.

use std::time::Duration;

use figramp::belief::Belief;
use figramp::deployment::EndpointListing;
use figramp::deployment::EndpointPhase;
use figramp::deployment::ListingVersion;
use figramp::deployment::ZoneKey;
use figramp::fleet::MessageDigest;

use super::support::at;
use super::support::configuration;
use super::support::listing;
use super::support::revision;

const ERA: u64 = 1;

fn restored(revision: u64) -> ListingVersion {
    ListingVersion { era: ERA, revision }
}

fn belief_of(listing: EndpointListing) -> Belief {
    let mut belief = Belief::default();
    belief.apply_configuration(configuration(7), Some(at(1_000)));
    belief.apply_store_listing(at(1_000), at(1_000), revision(500), listing);
    belief
}

fn draining(ids: &[&str], draining: usize, sequence: u64) -> EndpointListing {
    let mut listing = listing(ids);
    listing.endpoints[draining].phase = EndpointPhase::Draining;
    listing.endpoints[draining].sequence = sequence;
    listing
}

fn ready(belief: &Belief) -> Vec<&str> {
    let endpoints = belief.listing().endpoints.iter();
    endpoints
        .filter(|endpoint| endpoint.phase == EndpointPhase::Ready)
        .map(|endpoint| endpoint.instance.id.as_str())
        .collect()
}

#[test]
fn a_lower_revision_of_a_later_era_is_applied() {
    let mut belief = belief_of(listing(&["a"]));
    assert!(belief.apply_store_listing(at(2_000), at(2_000), restored(300), listing(&["a", "b"])));
    assert_eq!(ready(&belief), ["a", "b"]);
    assert_eq!(belief.listing_version(), restored(300));
}

#[test]
fn an_era_may_be_skipped_and_an_earlier_one_is_ignored() {
    let mut belief = belief_of(listing(&["a"]));
    let third = ListingVersion {
        era: 3,
        revision: 20,
    };
    belief.apply_store_listing(at(2_000), at(2_000), third, listing(&["a", "b"]));
    assert!(!belief.apply_store_listing(at(2_500), at(2_500), restored(900), listing(&["c"])));
    assert_eq!(ready(&belief), ["a", "b"]);
}

#[test]
fn content_without_an_era_belongs_to_the_known_one() {
    let mut belief = belief_of(listing(&["a"]));
    belief.apply_store_listing(at(2_000), at(2_000), restored(300), listing(&["a"]));
    assert_eq!(belief.store_version(None, 310), restored(310));
    assert_eq!(belief.store_version(Some(4), 310).era, 4);
}

#[test]
fn an_endpoint_known_as_draining_stays_so_until_it_writes_again() {
    let mut belief = belief_of(draining(&["a", "b"], 1, 9));
    let mut backup = listing(&["a", "b"]);
    backup.endpoints[1].sequence = 8;
    belief.apply_store_listing(at(2_000), at(2_000), restored(300), backup.clone());
    assert_eq!(ready(&belief), ["a"]);
    belief.apply_store_listing(at(60_000), at(60_000), restored(301), backup.clone());
    assert_eq!(ready(&belief), ["a"]);
    backup.endpoints[1].sequence = 10;
    belief.apply_store_listing(at(60_500), at(60_500), restored(302), backup);
    assert_eq!(ready(&belief), ["a", "b"]);
}

#[test]
fn an_endpoint_known_as_removed_stays_so_until_it_writes_again() {
    let mut belief = belief_of(listing(&["a", "b"]));
    belief.apply_store_listing(at(1_500), at(1_500), revision(501), listing(&["a"]));
    let mut backup = listing(&["a", "b"]);
    belief.apply_store_listing(at(2_000), at(2_000), restored(300), backup.clone());
    assert_eq!(ready(&belief), ["a"]);
    backup.endpoints[1].sequence = 2;
    belief.apply_store_listing(at(2_500), at(2_500), restored(301), backup);
    assert_eq!(ready(&belief), ["a", "b"]);
}

#[test]
fn an_endpoint_that_the_backup_lacks_is_kept_until_it_should_have_registered() {
    let mut belief = belief_of(listing(&["a", "b"]));
    belief.apply_store_listing(at(2_000), at(2_000), restored(300), listing(&["a"]));
    assert_eq!(ready(&belief), ["a", "b"]);
    belief.apply_peer_listing(at(4_000), at(4_000), restored(301), listing(&["a"]));
    assert_eq!(ready(&belief), ["a", "b"]);
    belief.apply_store_listing(at(4_700), at(4_700), restored(302), listing(&["a"]));
    assert_eq!(ready(&belief), ["a"]);
}

#[test]
fn an_evacuation_that_the_backup_lacks_is_kept_until_it_should_have_been_repeated() {
    let mut held = listing(&["a"]);
    held.evacuated.insert(ZoneKey(0));
    let mut belief = belief_of(held);
    let is_evacuated = |belief: &Belief| belief.listing().evacuated.contains(&ZoneKey(0));
    belief.apply_store_listing(at(2_000), at(2_000), restored(300), listing(&["a"]));
    assert!(is_evacuated(&belief));
    belief.apply_store_listing(at(4_700), at(4_700), restored(301), listing(&["a"]));
    assert!(!is_evacuated(&belief));
}

#[test]
fn a_configuration_is_not_confirmed_while_a_newer_one_may_be_missing() {
    let mut belief = belief_of(listing(&["a"]));
    assert!(belief.on_era(at(2_000), ERA));
    assert!(!belief.apply_configuration(configuration(6), Some(at(2_000))));
    assert_eq!(belief.version(), 7);
    belief.apply_configuration(configuration(7), Some(at(3_000)));
    assert_eq!(
        belief.configuration_age(at(3_000)),
        Some(Duration::from_millis(2_000))
    );
    belief.apply_configuration(configuration(7), Some(at(4_700)));
    assert_eq!(belief.configuration_age(at(4_700)), Some(Duration::ZERO));
}

#[test]
fn a_newer_configuration_is_confirmed_at_once_after_a_restoration() {
    let mut belief = belief_of(listing(&["a"]));
    belief.on_era(at(2_000), ERA);
    assert!(belief.apply_configuration(configuration(8), Some(at(2_500))));
    assert_eq!(belief.configuration_age(at(2_500)), Some(Duration::ZERO));
}

#[test]
fn a_vm_cut_off_over_the_restoration_takes_the_listing_of_a_peer() {
    let mut peer = belief_of(listing(&["a"]));
    peer.apply_store_listing(at(2_000), at(2_000), restored(300), listing(&["a", "b"]));
    let digest = MessageDigest::new(&peer.digest(), at(9_000));
    let mut belief = belief_of(draining(&["a"], 0, 9));
    let updates = belief.compare(at(9_000), &digest.received(Some(at(9_000))));
    assert!(updates.has_newer_listing);
    let listing = peer.listing().as_ref().clone();
    belief.apply_peer_listing(at(9_010), at(9_000), restored(300), listing);
    assert_eq!(ready(&belief), ["b"]);
}

#[test]
fn a_peer_of_an_earlier_era_has_nothing_newer() {
    let peer = belief_of(listing(&["a", "b"]));
    let digest = MessageDigest::new(&peer.digest(), at(2_500));
    let mut belief = belief_of(listing(&["a"]));
    belief.apply_store_listing(at(2_000), at(2_000), restored(300), listing(&["a"]));
    let updates = belief.compare(at(2_500), &digest.received(Some(at(2_500))));
    assert!(!updates.has_newer_listing);
    assert!(!belief.apply_peer_listing(at(2_500), at(2_500), revision(900), listing(&["c"])));
}

#[test]
fn a_vm_that_starts_after_the_restoration_learns_of_a_draining_endpoint_from_its_peers() {
    let mut peer = belief_of(draining(&["a", "b"], 1, 9));
    peer.apply_store_listing(at(2_000), at(2_000), restored(300), listing(&["a", "b"]));
    let mut belief = Belief::default();
    belief.apply_store_listing(at(2_100), at(2_100), restored(299), listing(&["a", "b"]));
    let corrected = peer.listing().as_ref().clone();
    belief.apply_peer_listing(at(2_200), at(2_200), restored(300), corrected);
    assert_eq!(ready(&belief), ["a"]);
    belief.apply_store_listing(at(2_700), at(2_700), restored(301), listing(&["a", "b"]));
    assert_eq!(ready(&belief), ["a"]);
}
