//! Parts of requests that endpoints were answering when they crashed for another reason.

use figramp::quarantine::InstanceHash;
use figramp::quarantine::PartHash;
use figramp::quarantine::RequestQuarantine;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::RngExt;
use rand::SeedableRng;

use super::support::answer;
use super::support::at;
use super::support::crash;
use super::support::is_quarantined;
use super::support::CULPRIT;

/// The first parts of sound prompts.
const SOUND_PARTS: [u64; 4] = [10, 11, 12, 13];

#[test]
fn outages_of_many_endpoints_quarantine_nothing() {
    let mut quarantine = RequestQuarantine::default();
    for outage in 0..5 {
        for endpoint in 0..20 {
            for part in SOUND_PARTS {
                let ms = 1_000 + outage * 2_000 + u64::from(endpoint) * 3;
                crash(&mut quarantine, ms, outage as u32 * 20 + endpoint, &[part]);
            }
        }
    }
    for part in SOUND_PARTS {
        assert!(!is_quarantined(&quarantine, 20_000, &[part]));
    }
}

#[test]
fn parts_in_use_are_not_quarantined_by_the_crashes_of_others() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut quarantine = RequestQuarantine::default();
        let mut endpoint = 0;
        for ms in (1_000..60_000).step_by(50) {
            if rng.random_bool(0.04) {
                endpoint += 1;
                crash(&mut quarantine, ms, endpoint, &[CULPRIT]);
                let bystander = SOUND_PARTS.choose(&mut rng).expect("a part");
                crash(&mut quarantine, ms, endpoint, &[*bystander]);
            } else if rng.random_bool(0.2) {
                let part = SOUND_PARTS.choose(&mut rng).expect("a part");
                answer(&mut quarantine, ms, &[*part]);
            }
            for part in SOUND_PARTS {
                assert!(!is_quarantined(&quarantine, ms, &[part]), "seed {seed}");
            }
        }
        assert!(is_quarantined(&quarantine, 60_000, &[CULPRIT]));
    }
}

#[test]
fn a_bystander_with_a_part_of_the_culprits_does_not_take_the_blame_alone() {
    for (shared, culprit) in [(20, 30), (30, 20)] {
        let mut quarantine = RequestQuarantine::default();
        crash(&mut quarantine, 1_000, 1, &[shared, culprit]);
        crash(&mut quarantine, 1_000, 1, &[shared]);
        crash(&mut quarantine, 2_000, 2, &[shared, culprit]);
        crash(&mut quarantine, 3_000, 3, &[shared, culprit]);
        assert!(is_quarantined(&quarantine, 3_001, &[shared, culprit]));
        assert!(!is_quarantined(&quarantine, 3_001, &[shared]));
    }
}

#[test]
fn an_endpoint_that_broke_answers_off_and_lives_on_has_not_crashed() {
    let mut quarantine = RequestQuarantine::default();
    for (endpoint, ms) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        crash(&mut quarantine, ms, endpoint, &[10]);
        let later = at(ms + 700);
        quarantine.on_answered(later, Some(InstanceHash(endpoint)), [PartHash(11)]);
    }
    assert!(!is_quarantined(&quarantine, 4_000, &[10]));
}

#[test]
fn broken_connections_long_before_a_crash_do_not_make_it_an_outage() {
    let mut quarantine = RequestQuarantine::default();
    for endpoint in 1..=5 {
        quarantine.on_broken_off(at(1_000), InstanceHash(endpoint));
    }
    for (endpoint, ms) in [(1, 10_000), (2, 11_000), (3, 12_000)] {
        crash(&mut quarantine, ms, endpoint, &[CULPRIT]);
    }
    assert!(is_quarantined(&quarantine, 12_001, &[CULPRIT]));
}

#[test]
fn broken_connections_long_before_an_outage_do_not_hide_it() {
    let mut quarantine = RequestQuarantine::default();
    for (endpoint, ms) in [(1, 1_000), (2, 5_000), (3, 9_000)] {
        crash(&mut quarantine, ms, endpoint, &[11]);
        answer(&mut quarantine, ms + 100, &[11]);
    }
    for outage_ms in [60_000, 70_000, 80_000] {
        for endpoint in 1..=3 {
            crash(&mut quarantine, outage_ms, endpoint, &[10]);
        }
    }
    assert!(!is_quarantined(&quarantine, 80_001, &[10]));
}
