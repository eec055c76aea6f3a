//! Records that lapse during an outage of the store, and records that are removed.

use figramp::belief::Belief;

use super::support::at;
use super::support::listing;
use super::support::revision;

fn ids(belief: &Belief) -> Vec<String> {
    let endpoints = belief.listing().endpoints.iter();
    endpoints
        .map(|endpoint| endpoint.instance.id.to_string())
        .collect()
}

#[test]
fn a_record_removed_while_the_store_is_reachable_disappears_at_once() {
    let mut belief = Belief::default();
    belief.apply_store_listing(at(1_000), at(1_000), revision(1), listing(&["a", "b"]));
    belief.apply_store_listing(at(1_500), at(1_500), revision(2), listing(&["a"]));
    assert_eq!(ids(&belief), ["a"]);
}

#[test]
fn a_record_missing_after_an_outage_is_kept_until_the_registration_timeout() {
    let mut belief = Belief::default();
    belief.apply_store_listing(at(1_000), at(1_000), revision(1), listing(&["a", "b"]));
    belief.apply_store_listing(at(9_000), at(9_000), revision(2), listing(&["a"]));
    assert_eq!(ids(&belief), ["a", "b"]);
    belief.apply_store_listing(at(10_900), at(10_900), revision(3), listing(&["a"]));
    assert_eq!(ids(&belief), ["a", "b"]);
    belief.apply_store_listing(at(11_700), at(11_700), revision(4), listing(&["a"]));
    assert_eq!(ids(&belief), ["a"]);
}

#[test]
fn a_record_that_returns_after_an_outage_replaces_the_kept_one() {
    let mut belief = Belief::default();
    belief.apply_store_listing(at(1_000), at(1_000), revision(1), listing(&["a", "b"]));
    belief.apply_store_listing(at(9_000), at(9_000), revision(2), listing(&["a"]));
    belief.apply_store_listing(at(9_500), at(9_500), revision(3), listing(&["a", "b"]));
    belief.apply_store_listing(at(10_000), at(10_000), revision(4), listing(&["a"]));
    assert_eq!(ids(&belief), ["a"]);
}
