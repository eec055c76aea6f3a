//! Which rows of other VMs are accepted, and when they expire.

use figramp::fleet::VmPhase;

use super::support::ip;
use super::support::row;
use super::support::view;
use crate::belief::support::at;

#[test]
fn only_rows_with_a_higher_beat_are_accepted() {
    let mut fleet = view(1);
    assert!(fleet.merge(at(0), &row(2, 5), false));
    assert!(!fleet.merge(at(100), &row(2, 4), false));
    assert!(!fleet.merge(at(100), &row(2, 5), false));
    assert!(fleet.merge(at(100), &row(2, 6), false));
}

#[test]
fn a_restarted_vm_is_accepted_after_a_backward_step_of_the_time_of_day() {
    let mut fleet = view(1);
    let mut old = row(2, 500);
    old.incarnation = 9_000;
    fleet.merge(at(0), &old, true);
    let mut restarted = row(2, 1);
    restarted.incarnation = 7_000;
    assert!(!fleet.merge(at(100), &restarted, false));
    assert!(fleet.merge(at(100), &restarted, true));
}

#[test]
fn a_silent_vm_is_not_alive_and_not_the_reader() {
    let mut fleet = view(3);
    fleet.merge(at(0), &row(6, 1), true);
    fleet.merge(at(0), &row(9, 1), true);
    assert_eq!(fleet.alive_count(at(2_000)), 3);
    assert_eq!(fleet.alive_count(at(3_100)), 1);
    assert_eq!(fleet.reader(at(3_100)), ip(3));
    assert_eq!(fleet.known_count(), 3);
}

#[test]
fn a_vm_that_left_is_removed_sooner_than_a_silent_one() {
    let mut fleet = view(1);
    let mut leaving = row(2, 1);
    leaving.phase = VmPhase::Leaving;
    fleet.merge(at(0), &leaving, true);
    fleet.merge(at(0), &row(3, 1), true);
    fleet.remove_expired(at(4_000));
    assert_eq!(fleet.known_count(), 2);
    fleet.remove_expired(at(31_000));
    assert_eq!(fleet.known_count(), 1);
}

#[test]
fn a_row_with_an_unknown_zone_is_ignored() {
    let mut fleet = view(1);
    let mut unknown = row(2, 1);
    unknown.zone = figramp::deployment::ZoneKey(40);
    assert!(!fleet.merge(at(0), &unknown, true));
}

#[test]
fn a_vm_that_is_unreachable_keeps_its_share_of_the_limits() {
    let mut fleet = view(1);
    fleet.merge(at(60_000), &row(2, 1), true);
    fleet.on_unreachable(ip(2));
    fleet.remove_expired(at(60_300));
    assert_eq!(fleet.alive_count(at(60_300)), 1);
    assert_eq!(fleet.known_count(), 2);
    fleet.remove_expired(at(91_000));
    assert_eq!(fleet.known_count(), 1);
}
