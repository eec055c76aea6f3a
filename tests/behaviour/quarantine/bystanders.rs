//! Parts of requests that endpoints were answering when they crashed for another reason.

use figramp::quarantine::PromptQuarantine;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::RngExt;
use rand::SeedableRng;

use super::support::answer;
use super::support::crash;
use super::support::is_quarantined;
use super::support::CULPRIT;

/// The first parts of sound prompts.
const SOUND_PARTS: [u64; 4] = [10, 11, 12, 13];

#[test]
fn outages_of_many_endpoints_quarantine_nothing() {
    let mut quarantine = PromptQuarantine::default();
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
        let mut quarantine = PromptQuarantine::default();
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
