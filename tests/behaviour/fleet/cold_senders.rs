//! Which VMs count themselves among the senders of a cold endpoint.

use std::ops::Range;

use figramp::clock::Monotonic;
use figramp::fleet::FleetView;
use figramp::fleet::VmPhase;

use super::support::row;
use super::support::view;
use crate::belief::support::at;

const ENDPOINTS: Range<u64> = 0..20;

/// The number of VMs of a region that may send to one cold endpoint.
const SENDERS: usize = 2;

fn selected_count(fleet: &FleetView, now: Monotonic) -> usize {
    ENDPOINTS
        .filter(|endpoint| fleet.is_selected(now, *endpoint, SENDERS))
        .count()
}

/// Returns the view of a VM that knows the others of its region since `known_ms`.
fn view_among(others: &[u8], known_ms: u64) -> FleetView {
    let mut fleet = view(3);
    for number in others {
        fleet.merge(at(known_ms), &row(*number, 1), true);
    }
    fleet
}

#[test]
fn the_only_vm_of_a_region_sends_within_two_seconds() {
    let fleet = view(3);
    assert_eq!(selected_count(&fleet, at(1_000)), 0);
    assert_eq!(selected_count(&fleet, at(2_000)), ENDPOINTS.count());
}

#[test]
fn a_vm_sends_once_no_other_was_found_for_three_rounds() {
    let mut fleet = view_among(&[6], 300);
    assert_eq!(selected_count(&fleet, at(1_100)), 0);
    assert_eq!(selected_count(&fleet, at(1_200)), ENDPOINTS.count());
    fleet.merge(at(1_200), &row(9, 1), true);
    assert_eq!(selected_count(&fleet, at(1_300)), 0);
}

#[test]
fn a_vm_that_still_finds_others_sends_after_three_seconds() {
    let mut fleet = view(3);
    for number in 2..=9 {
        fleet.merge(at(400 * u64::from(number)), &row(3 * number, 1), true);
    }
    assert_eq!(selected_count(&fleet, at(2_990)), 0);
    assert!(selected_count(&fleet, at(3_000)) > 0);
}

#[test]
fn a_vm_of_another_region_does_not_count() {
    let fleet = view_among(&[4, 5, 7, 8], 300);
    assert_eq!(selected_count(&fleet, at(1_300)), 0);
    assert_eq!(selected_count(&fleet, at(2_000)), ENDPOINTS.count());
}

#[test]
fn a_vm_behind_a_cut_sends_to_no_more_endpoints_than_before() {
    let mut fleet = view_among(&[6, 9, 12, 15, 18], 300);
    let before = selected_count(&fleet, at(3_000));
    assert!(before < ENDPOINTS.count());
    fleet.remove_expired(at(20_000));
    assert_eq!(fleet.alive_count(at(20_000)), 1);
    assert_eq!(selected_count(&fleet, at(20_000)), before);
}

#[test]
fn vms_that_are_not_ready_yet_keep_their_rank() {
    let mut fleet = view(3);
    for number in [6, 9, 12, 15, 18] {
        let mut starting = row(number, 1);
        starting.phase = VmPhase::Starting;
        fleet.merge(at(300), &starting, true);
    }
    let others = view_among(&[6, 9, 12, 15, 18], 300);
    let expected = selected_count(&others, at(3_000));
    assert_eq!(selected_count(&fleet, at(3_000)), expected);
}

#[test]
fn a_vm_that_leaves_is_replaced_by_another() {
    let mut fleet = view_among(&[6, 9], 300);
    let before = selected_count(&fleet, at(3_000));
    let mut leaving = row(6, 2);
    leaving.phase = VmPhase::Leaving;
    fleet.merge(at(3_000), &leaving, true);
    assert!(selected_count(&fleet, at(3_000)) > before);
    fleet.local_row_mut().phase = VmPhase::Leaving;
    assert_eq!(selected_count(&fleet, at(3_000)), 0);
}

#[test]
fn a_vm_that_wakes_after_a_long_pause_discovers_its_region_anew() {
    let mut fleet = view_among(&[6, 9, 12, 15, 18], 300);
    let before = selected_count(&fleet, at(3_000));
    fleet.remove_expired(at(60_000));
    assert_eq!(selected_count(&fleet, at(60_100)), 0);
    for number in [6, 9, 12, 15, 18] {
        fleet.merge(at(60_200), &row(number, 200), true);
    }
    assert_eq!(selected_count(&fleet, at(60_300)), 0);
    assert_eq!(selected_count(&fleet, at(61_100)), before);
}

#[test]
fn a_vm_whose_neighbours_left_goes_on_sending() {
    let mut fleet = view(3);
    let mut leaving = row(6, 1);
    leaving.phase = VmPhase::Leaving;
    fleet.merge(at(300), &leaving, true);
    fleet.remove_expired(at(4_000));
    assert_eq!(selected_count(&fleet, at(4_000)), ENDPOINTS.count());
}
