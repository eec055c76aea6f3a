//! VMs that share what they know of crashes.

use figramp::clock::Monotonic;
use figramp::fleet::MessageCrashes;
use figramp::quarantine::RequestQuarantine;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;

use super::support::answer;
use super::support::at;
use super::support::crash;
use super::support::is_quarantined;
use super::support::CULPRIT;

/// The time between two rounds of gossip.
const ROUND_MS: u64 = 300;

/// Sends what one VM knows to another, whose clock is `ahead_ms` ahead.
fn send(
    from: &RequestQuarantine,
    to: &mut RequestQuarantine,
    now: Monotonic,
    received_at: Monotonic,
) {
    let mut rng = StdRng::seed_from_u64(now.as_ms());
    let message = MessageCrashes::new(&from.reports(now, &mut rng), now);
    to.merge(received_at, message.received(received_at));
}

#[test]
fn each_vm_quarantines_a_part_of_which_it_saw_one_crash_or_none() {
    let mut rng = StdRng::seed_from_u64(4);
    let mut vms: Vec<RequestQuarantine> = (0..24).map(|_| RequestQuarantine::default()).collect();
    for (vm, ms) in [(0, 1_000), (7, 1_600), (13, 2_200)] {
        crash(&mut vms[vm], ms, vm as u32, &[CULPRIT]);
    }
    for round in 0..12 {
        let now = at(2_500 + round * ROUND_MS);
        for from in 0..vms.len() {
            let to = rng.random_range(0..vms.len());
            let message = MessageCrashes::new(&vms[from].reports(now, &mut rng), now);
            vms[to].merge(now, message.received(now));
        }
    }
    let refusing = vms
        .iter()
        .filter(|vm| is_quarantined(vm, 6_200, &[CULPRIT]));
    assert_eq!(refusing.count(), vms.len());
}

#[test]
fn a_vm_that_started_after_the_crashes_quarantines_the_part() {
    let mut old = RequestQuarantine::default();
    for (endpoint, ms) in [(1, 100_000), (2, 110_000), (3, 120_000)] {
        crash(&mut old, ms, endpoint, &[CULPRIT]);
    }
    let mut new = RequestQuarantine::default();
    send(&old, &mut new, at(130_000), at(200));
    assert!(is_quarantined(&new, 201, &[CULPRIT]));
}

#[test]
fn an_answer_that_another_vm_got_clears_a_part() {
    let (mut crashed, mut answered) = (RequestQuarantine::default(), RequestQuarantine::default());
    for (endpoint, ms) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        crash(&mut crashed, ms, endpoint, &[20, CULPRIT]);
    }
    send(&crashed, &mut answered, at(3_100), at(3_100));
    assert!(is_quarantined(&answered, 3_101, &[20, CULPRIT]));
    answer(&mut answered, 3_500, &[20]);
    send(&answered, &mut crashed, at(3_600), at(3_600));
    for vm in [&crashed, &answered] {
        assert!(!is_quarantined(vm, 3_700, &[20]));
        assert!(is_quarantined(vm, 3_700, &[21, CULPRIT]));
    }
}

#[test]
fn a_report_that_comes_back_on_another_way_counts_once() {
    let mut vms = [RequestQuarantine::default(), RequestQuarantine::default()];
    for (endpoint, ms) in [(1, 1_000), (2, 1_500)] {
        crash(&mut vms[0], ms, endpoint, &[CULPRIT]);
    }
    for round in 0..20 {
        let now = at(2_000 + round * ROUND_MS);
        let late = at(2_000 + round * ROUND_MS + 900);
        let [first, second] = &mut vms;
        send(first, second, now, late);
        send(second, first, late, now);
    }
    for vm in &vms {
        assert!(!is_quarantined(vm, 10_000, &[CULPRIT]));
    }
}

#[test]
fn a_vm_that_blames_a_part_is_told_of_an_answer_that_another_has_forgotten_the_crashes_for() {
    let (mut crashed, mut answered) = (RequestQuarantine::default(), RequestQuarantine::default());
    for (endpoint, ms) in [(1, 1_000), (2, 1_500), (3, 2_000)] {
        crash(&mut crashed, ms, endpoint, &[20]);
    }
    send(&crashed, &mut answered, at(2_100), at(2_100));
    answer(&mut answered, 2_300, &[20]);
    for round in 0..3 {
        let now = at(2_400 + round * ROUND_MS);
        send(&crashed, &mut answered, now, now);
        send(&answered, &mut crashed, now, now);
    }
    assert!(!is_quarantined(&crashed, 4_000, &[20]));
}

#[test]
fn a_report_that_waited_on_its_way_is_dated_by_a_later_one_that_did_not() {
    let (mut from, mut to) = (RequestQuarantine::default(), RequestQuarantine::default());
    for (endpoint, ms) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        crash(&mut from, ms, endpoint, &[20]);
    }
    send(&from, &mut to, at(3_100), at(8_100));
    send(&from, &mut to, at(8_200), at(8_200));
    answer(&mut to, 8_300, &[30]);
    assert!(is_quarantined(&to, 8_300, &[20]));
    let mut answered = RequestQuarantine::default();
    answer(&mut answered, 5_000, &[20]);
    send(&to, &mut answered, at(8_300), at(8_300));
    send(&answered, &mut to, at(8_400), at(8_400));
    assert!(!is_quarantined(&to, 8_500, &[20]));
}

#[test]
fn reports_that_waited_for_a_stopped_vm_together_are_no_outage() {
    let (mut from, mut stopped) = (RequestQuarantine::default(), RequestQuarantine::default());
    let resumed_at = at(9_000);
    for (endpoint, ms) in [(1, 1_000), (2, 2_000), (3, 3_000), (4, 4_000)] {
        crash(&mut from, ms, endpoint, &[CULPRIT]);
        // The reports of a datagram are dated by its arrival.
        send(&from, &mut stopped, at(ms), resumed_at);
    }
    send(&from, &mut stopped, at(9_300), at(9_300));
    assert!(is_quarantined(&stopped, 9_301, &[CULPRIT]));
}
