//! Outages of endpoints that VMs notice late, as they get no processor for a while.

use figramp::quarantine::InstanceHash;
use figramp::quarantine::PartHash;
use figramp::quarantine::RequestQuarantine;

use super::support::at;
use super::support::crash;
use super::support::is_quarantined;

const PART: u64 = 10;

/// The time from the heads of answers to the outage that breaks them off.
const BEGUN_MS: u64 = 100;
const OUTAGE_TIMES_MS: [u64; 4] = [1_000, 4_000, 7_000, 10_000];
const OUTAGE_ENDPOINTS: u32 = 8;

/// Records outages of eight endpoints; `noticed_ms` returns when VMs notice the crash of each, by the
/// time since the outage.
fn outages(noticed_ms: impl Fn(u32) -> Vec<u64>) -> RequestQuarantine {
    let mut quarantine = RequestQuarantine::default();
    for (outage, at_ms) in (0..).zip(OUTAGE_TIMES_MS) {
        let endpoints = 0..OUTAGE_ENDPOINTS;
        let mut crashes: Vec<(u64, u32)> = endpoints
            .flat_map(|endpoint| {
                let noticed = noticed_ms(endpoint).into_iter();
                noticed.map(move |ms| (at_ms + ms, outage * OUTAGE_ENDPOINTS + endpoint))
            })
            .collect();
        crashes.sort_unstable();
        for (ms, endpoint) in crashes {
            let began_at = at(at_ms - BEGUN_MS);
            quarantine.on_crashed(at(ms), InstanceHash(endpoint), began_at, [PartHash(PART)]);
        }
    }
    quarantine
}

fn assert_quarantines_nothing(quarantine: &RequestQuarantine) {
    assert!(!is_quarantined(quarantine, 15_000, &[PART]));
}

#[test]
fn crashes_that_a_vm_without_processor_notices_late_are_of_the_outage() {
    let quarantine = outages(|endpoint| match endpoint {
        0..6 => vec![u64::from(endpoint)],
        _ => vec![83],
    });
    assert_quarantines_nothing(&quarantine);
}

#[test]
fn a_crash_that_two_vms_notice_at_different_times_is_of_the_outage() {
    let quarantine = outages(|endpoint| match endpoint {
        0 => vec![0, 83],
        _ => vec![u64::from(endpoint)],
    });
    assert_quarantines_nothing(&quarantine);
}

/// A part that crashes endpoints goes on doing so after an outage.
#[test]
fn a_part_that_crashes_endpoints_is_recognised_beside_outages() {
    let mut quarantine = outages(|endpoint| vec![u64::from(endpoint)]);
    for (endpoint, ms) in [(100, 10_400), (101, 11_000), (102, 11_600)] {
        crash(&mut quarantine, ms, endpoint, &[PART]);
    }
    assert!(is_quarantined(&quarantine, 15_000, &[PART]));
}
