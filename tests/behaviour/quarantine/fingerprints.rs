//! Requests that crash the endpoints that run them, by their fingerprints.

use figramp::clock::Monotonic;
use figramp::fleet::MessageCrashes;
use figramp::quarantine::InstanceHash;
use figramp::quarantine::PartHash;
use figramp::quarantine::RequestIdentity;
use figramp::quarantine::RequestQuarantine;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;

use super::support::at;
use super::support::crash;
use super::support::is_quarantined;
use super::support::CULPRIT;

/// The time between two rounds of gossip.
const ROUND_MS: u64 = 300;

/// The sound requests that break off with an endpoint.
const BYSTANDERS: u64 = 60;

/// The time in which all VMs must know of a culprit: the stable window of the platform's settings.
const STABLE_WINDOW_MS: u64 = 5_000;

const IDENTITY: RequestIdentity<'static> = RequestIdentity {
    method: "POST",
    host: "test.example",
    path: "/read/x?y=1",
    account: Some("nursery"),
    body: b"ask",
};

fn survive(quarantine: &mut RequestQuarantine, ms: u64, request: u64) {
    quarantine.on_survived(at(ms), None, PartHash(request));
}

#[test]
fn the_fingerprint_differs_by_each_field() {
    let fingerprint = PartHash::from(IDENTITY);
    let others = [
        RequestIdentity {
            method: "GET",
            ..IDENTITY
        },
        RequestIdentity {
            host: "other.example",
            ..IDENTITY
        },
        RequestIdentity {
            path: "/read/x",
            ..IDENTITY
        },
        RequestIdentity {
            path: "/read/x?y=1nursery",
            account: None,
            ..IDENTITY
        },
        RequestIdentity {
            account: None,
            ..IDENTITY
        },
        RequestIdentity {
            body: b"asks",
            ..IDENTITY
        },
    ];
    assert_eq!(fingerprint, PartHash::from(IDENTITY));
    for other in others {
        assert_ne!(fingerprint, PartHash::from(other), "{other:?}");
    }
}

#[test]
fn a_request_that_its_endpoint_survived_is_not_quarantined() {
    let mut quarantine = RequestQuarantine::default();
    for (endpoint, ms) in [(1, 1_000), (2, 2_000)] {
        crash(&mut quarantine, ms, endpoint, &[10]);
    }
    survive(&mut quarantine, 2_500, 10);
    crash(&mut quarantine, 4_000, 3, &[10]);
    assert!(!is_quarantined(&quarantine, 4_001, &[10]));
}

#[test]
fn repeats_that_overlap_at_three_endpoints_are_enough_unless_all_began_together() {
    for (last_began_ms, is_culprit) in [(1_120, true), (1_090, false)] {
        let mut quarantine = RequestQuarantine::default();
        let fingerprint = PartHash::from(IDENTITY);
        for (endpoint, began_ms, crashed_ms) in [
            (1, 1_000, 1_100),
            (2, 1_060, 1_160),
            (3, last_began_ms, 1_220),
        ] {
            let endpoint = InstanceHash(endpoint);
            quarantine.on_crashed(at(crashed_ms), endpoint, at(began_ms), [fingerprint]);
        }
        assert_eq!(
            is_quarantined(&quarantine, 1_221, &[fingerprint.0]),
            is_culprit
        );
    }
}

#[test]
fn an_event_of_the_prompt_does_not_exonerate_the_request() {
    let mut quarantine = RequestQuarantine::default();
    for (endpoint, ms) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        let endpoint_hash = InstanceHash(endpoint);
        quarantine.on_answered(at(ms - 10), Some(endpoint_hash), [PartHash(20)]);
        crash(&mut quarantine, ms, endpoint, &[CULPRIT]);
    }
    assert!(is_quarantined(&quarantine, 3_001, &[CULPRIT, 20]));
    assert!(!is_quarantined(&quarantine, 3_001, &[20]));
}

#[test]
fn a_request_with_prompt_parts_is_refused_by_its_fingerprint_alone() {
    let mut quarantine = RequestQuarantine::default();
    crash(&mut quarantine, 1_000, 1, &[CULPRIT, 20, 21]);
    crash(&mut quarantine, 2_000, 2, &[CULPRIT]);
    crash(&mut quarantine, 3_000, 3, &[CULPRIT, 20, 21]);
    assert!(is_quarantined(&quarantine, 3_001, &[CULPRIT, 20, 21]));
    assert!(!is_quarantined(&quarantine, 3_001, &[20, 21]));
}

#[test]
fn only_a_request_under_which_two_endpoints_crashed_is_not_retried() {
    let mut quarantine = RequestQuarantine::default();
    crash(&mut quarantine, 1_000, 1, &[CULPRIT]);
    crash(&mut quarantine, 1_000, 1, &[10]);
    assert!(!quarantine.has_repeated_crashes(PartHash(CULPRIT)));
    crash(&mut quarantine, 2_000, 2, &[CULPRIT]);
    crash(&mut quarantine, 2_000, 2, &[11]);
    assert!(quarantine.has_repeated_crashes(PartHash(CULPRIT)));
    for sound in [10, 11] {
        assert!(!quarantine.has_repeated_crashes(PartHash(sound)));
    }
}

#[test]
fn a_sound_request_at_two_endpoints_that_a_culprit_crashed_is_retried() {
    let mut quarantine = RequestQuarantine::default();
    for (endpoint, ms) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        crash(&mut quarantine, ms, endpoint, &[CULPRIT]);
        if endpoint < 3 {
            crash(&mut quarantine, ms, endpoint, &[10]);
        }
    }
    assert!(!quarantine.has_repeated_crashes(PartHash(10)));
}

/// Crashes three endpoints under one request, each beside sound requests, and returns how many VMs
/// quarantine it and how many a sound one, within the stable window.
fn spread(vm_count: usize, seed: u64) -> (usize, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut vms: Vec<RequestQuarantine> = Vec::new();
    vms.resize_with(vm_count, RequestQuarantine::default);
    let crashes_ms = [1_000, 1_300, 1_600];
    let mut bystander = 1_000;
    let mut sent_ms = 1_100;
    let mut crashes = (1..).zip(crashes_ms).peekable();
    while sent_ms < crashes_ms[2] + STABLE_WINDOW_MS {
        while let Some((endpoint, ms)) = crashes.next_if(|(_, ms)| *ms < sent_ms) {
            let vm = rng.random_range(0..vm_count);
            crash(&mut vms[vm], ms, endpoint, &[CULPRIT]);
            for _ in 0..BYSTANDERS {
                bystander += 1;
                let vm = rng.random_range(0..vm_count);
                crash(&mut vms[vm], ms, endpoint, &[bystander]);
            }
        }
        gossip(&mut vms, at(sent_ms), &mut rng);
        sent_ms += ROUND_MS;
    }
    let refusing = |part: u64| {
        let vms = vms.iter();
        vms.filter(|vm| is_quarantined(vm, sent_ms, &[part]))
            .count()
    };
    let sound = (1_001..=bystander).map(refusing).max().unwrap_or(0);
    (refusing(CULPRIT), sound)
}

/// Sends what each VM knows to another one.
fn gossip(vms: &mut [RequestQuarantine], now: Monotonic, rng: &mut StdRng) {
    for from in 0..vms.len() {
        let to = rng.random_range(0..vms.len());
        let message = MessageCrashes::new(&vms[from].reports(now, rng), now);
        vms[to].merge(now, message.received(now));
    }
}

#[test]
fn all_vms_find_a_request_among_many_bystanders_within_the_stable_window() {
    for (vm_count, seed) in [(13, 1), (13, 2), (13, 3), (40, 4), (100, 5)] {
        let (culprit, sound) = spread(vm_count, seed);
        assert_eq!(
            (culprit, sound),
            (vm_count, 0),
            "{vm_count} VMs, seed {seed}"
        );
    }
}
