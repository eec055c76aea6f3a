//! Which rows of other VMs count.

use figramp::fleet::VmPhase;

use super::support::ip;
use super::support::row;
use super::support::view;
use crate::belief::support::at;

#[test]
fn a_row_that_comes_late_counts_once() {
    let mut fleet = view(1);
    assert!(fleet.merge(at(0), &row(2, 5), false));
    assert!(!fleet.merge(at(100), &row(2, 4), false));
    assert!(!fleet.merge(at(100), &row(2, 5), false));
    assert!(fleet.merge(at(100), &row(2, 6), false));
}

#[test]
fn a_restarted_vm_is_taken_at_its_word_though_the_time_of_day_went_back() {
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
fn a_silent_vm_is_neither_reader_nor_gateway() {
    let mut fleet = view(3);
    fleet.merge(at(0), &row(6, 1), true);
    fleet.merge(at(0), &row(9, 1), true);
    assert_eq!(fleet.alive_count(at(2_000)), 3);
    assert_eq!(fleet.alive_count(at(3_100)), 1);
    assert_eq!(fleet.reader(at(3_100)), ip(3));
    assert_eq!(fleet.known_count(), 3);
}

#[test]
fn a_vm_that_left_loses_its_share_sooner_than_one_that_went_silent() {
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
fn a_vm_in_a_zone_that_is_not_known_is_passed_over() {
    let mut fleet = view(1);
    let mut stranger = row(2, 1);
    stranger.zone = figramp::deployment::ZoneKey(40);
    assert!(!fleet.merge(at(0), &stranger, true));
}
