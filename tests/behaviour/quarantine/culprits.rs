//! The part that crashes endpoints is found, and no other.

use figramp::quarantine::RequestQuarantine;

use super::support::answer;
use super::support::crash;
use super::support::is_quarantined;
use super::support::CULPRIT;

#[test]
fn a_part_is_quarantined_after_three_crashes_one_after_the_other() {
    let mut quarantine = RequestQuarantine::default();
    for (endpoint, ms) in [(1, 1_000), (2, 1_500), (3, 2_000)] {
        assert!(!is_quarantined(&quarantine, ms, &[CULPRIT]));
        crash(&mut quarantine, ms, endpoint, &[CULPRIT]);
    }
    assert!(is_quarantined(&quarantine, 2_001, &[CULPRIT]));
    assert!(is_quarantined(&quarantine, 2_001, &[7, CULPRIT, 8]));
    assert!(!is_quarantined(&quarantine, 2_001, &[7, 8]));
}

#[test]
fn crashes_of_many_requests_at_a_time_are_enough_if_they_are_not_one_outage() {
    let mut quarantine = RequestQuarantine::default();
    for (endpoint, ms) in [(1, 1_000), (2, 1_020), (3, 3_000), (4, 3_020), (5, 5_000)] {
        crash(&mut quarantine, ms, endpoint, &[CULPRIT]);
    }
    assert!(is_quarantined(&quarantine, 5_001, &[CULPRIT]));
}

#[test]
fn parts_that_sound_requests_share_are_not_quarantined_with_the_culprit() {
    let mut quarantine = RequestQuarantine::default();
    for (endpoint, ms) in [(1, 1_000), (2, 2_000), (3, 3_000), (4, 4_000)] {
        crash(&mut quarantine, ms, endpoint, &[20, CULPRIT]);
        answer(&mut quarantine, ms + 100, &[20]);
    }
    assert!(is_quarantined(&quarantine, 5_000, &[21, CULPRIT]));
    assert!(!is_quarantined(&quarantine, 5_000, &[20]));
}

#[test]
fn parts_that_only_occurred_together_are_quarantined_together_until_one_is_answered() {
    let mut quarantine = RequestQuarantine::default();
    for (endpoint, ms) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        crash(&mut quarantine, ms, endpoint, &[20, CULPRIT]);
    }
    assert!(is_quarantined(&quarantine, 3_100, &[20, CULPRIT]));
    assert!(!is_quarantined(&quarantine, 3_100, &[20]));
    answer(&mut quarantine, 3_200, &[20, 30]);
    assert!(is_quarantined(&quarantine, 3_300, &[CULPRIT, 31]));
    assert!(!is_quarantined(&quarantine, 3_300, &[20, 30]));
}

#[test]
fn a_whole_answer_ends_the_quarantine_of_a_part() {
    let mut quarantine = RequestQuarantine::default();
    for (endpoint, ms) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        crash(&mut quarantine, ms, endpoint, &[CULPRIT]);
    }
    answer(&mut quarantine, 3_500, &[CULPRIT]);
    assert!(!is_quarantined(&quarantine, 3_501, &[CULPRIT]));
}

#[test]
fn a_quarantine_outlasts_minutes_without_such_requests_and_ends_at_last() {
    let mut quarantine = RequestQuarantine::default();
    for (endpoint, ms) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        crash(&mut quarantine, ms, endpoint, &[CULPRIT]);
    }
    assert!(is_quarantined(&quarantine, 500_000, &[CULPRIT]));
    assert!(!is_quarantined(&quarantine, 604_000, &[CULPRIT]));
}

#[test]
fn crashes_under_other_parts_do_not_push_out_those_of_a_quarantine() {
    let mut quarantine = RequestQuarantine::default();
    for (endpoint, ms) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        crash(&mut quarantine, ms, endpoint, &[CULPRIT]);
    }
    for index in 0..2_000 {
        let part = 1_000 + u64::from(index);
        crash(
            &mut quarantine,
            4_000 + u64::from(index) * 200,
            10 + index,
            &[part],
        );
    }
    assert!(is_quarantined(&quarantine, 500_000, &[CULPRIT]));
}

#[test]
fn pairs_of_crashes_in_quick_succession_are_no_outage() {
    let mut quarantine = RequestQuarantine::default();
    for (endpoint, ms) in [(1, 1_000), (3, 1_110), (5, 1_220)] {
        crash(&mut quarantine, ms, endpoint, &[CULPRIT]);
        crash(&mut quarantine, ms + 33, endpoint + 1, &[CULPRIT]);
    }
    assert!(is_quarantined(&quarantine, 1_300, &[CULPRIT]));
}
