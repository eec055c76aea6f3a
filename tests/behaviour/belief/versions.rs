//! Versions never decrease, and only a read that returned a version confirms it.

use std::time::Duration;

use figramp::belief::Belief;

use super::support::at;
use super::support::configuration;

#[test]
fn an_older_version_is_ignored() {
    let mut belief = Belief::default();
    assert!(belief.apply_configuration(configuration(7), Some(at(100))));
    assert!(!belief.apply_configuration(configuration(5), Some(at(900))));
    assert_eq!(belief.version(), 7);
    assert_eq!(
        belief.configuration_age(at(1_000)),
        Some(Duration::from_millis(900))
    );
}

/// Whatever was published before the older version was confirmed is part of the newer one.
#[test]
fn a_newer_version_is_as_old_as_the_last_confirmation_of_an_older_one() {
    let mut belief = Belief::default();
    belief.apply_configuration(configuration(7), Some(at(100)));
    assert!(belief.apply_configuration(configuration(8), None));
    assert_eq!(
        belief.configuration_age(at(200)),
        Some(Duration::from_millis(100))
    );
    assert!(belief.apply_configuration(configuration(9), Some(at(150))));
    assert_eq!(
        belief.configuration_age(at(200)),
        Some(Duration::from_millis(50))
    );
}

#[test]
fn a_version_that_was_never_confirmed_has_no_age() {
    let mut belief = Belief::default();
    assert!(belief.apply_configuration(configuration(7), None));
    assert!(belief.apply_configuration(configuration(8), None));
    assert_eq!(belief.configuration_age(at(200)), None);
}

#[test]
fn a_read_that_finishes_out_of_order_does_not_move_the_confirmation_back() {
    let mut belief = Belief::default();
    belief.apply_configuration(configuration(7), Some(at(500)));
    belief.apply_configuration(configuration(7), Some(at(300)));
    assert_eq!(
        belief.configuration_age(at(600)),
        Some(Duration::from_millis(100))
    );
}

#[test]
fn without_a_configuration_the_belief_is_not_complete() {
    let mut belief = Belief::default();
    belief.apply_store_listing(
        at(10),
        at(5),
        super::support::revision(3),
        super::support::listing(&["a"]),
    );
    assert!(!belief.is_complete());
    belief.apply_configuration(configuration(1), Some(at(5)));
    assert!(belief.is_complete());
}
