//! Which VMs the directory names to a client of a zone.

use std::collections::BTreeSet;

use figramp::deployment::ZoneKey;
use figramp::fleet::choose_entry_vms;
use figramp::fleet::EntryCandidate;
use rand::rngs::SmallRng;
use rand::SeedableRng;

use super::support::ip;

const OWN: ZoneKey = ZoneKey(1);
const OTHER: ZoneKey = ZoneKey(4);

/// Returns VMs of two zones; those of the other one have numbers from 101.
fn vms(own_count: u8, other_count: u8) -> Vec<EntryCandidate> {
    let own = (1..=own_count).map(|number| EntryCandidate {
        ip: ip(number),
        zone: OWN,
    });
    let others = (1..=other_count).map(|number| EntryCandidate {
        ip: ip(100 + number),
        zone: OTHER,
    });
    own.chain(others).collect()
}

/// Returns how many VMs of the own and of the other zone a client is told.
fn named(vms: &[EntryCandidate], zone: Option<ZoneKey>, seed: u64) -> (usize, usize) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let named = choose_entry_vms(vms, zone, &mut rng);
    let own = named.iter().filter(|ip| ip.octets()[3] <= 100).count();
    (own, named.len() - own)
}

#[test]
fn a_client_is_told_the_vms_of_its_zone_and_a_few_others() {
    assert_eq!(named(&vms(10, 10), Some(OWN), 1), (10, 2));
    assert_eq!(named(&vms(20, 16), Some(OWN), 1), (20, 3));
    assert_eq!(named(&vms(20, 16), Some(OTHER), 1), (2, 16));
}

#[test]
fn the_others_differ_from_answer_to_answer() {
    let vms = vms(10, 10);
    let mut seen = BTreeSet::new();
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        seen.extend(choose_entry_vms(&vms, Some(OWN), &mut rng));
    }
    assert_eq!(seen.len(), 20);
}

#[test]
fn a_zone_with_few_vms_shares_the_load_of_its_clients() {
    for own_count in 0..=3 {
        let all = (usize::from(own_count), 4);
        assert_eq!(named(&vms(own_count, 4), Some(OWN), 1), all);
    }
    assert_eq!(named(&vms(5, 10), Some(OWN), 1), (5, 10));
    assert_eq!(named(&vms(6, 10), Some(OWN), 1), (6, 2));
}

#[test]
fn a_zone_that_was_lost_or_is_not_ready_leaves_all_vms_of_the_region() {
    assert_eq!(named(&vms(0, 10), Some(OWN), 1), (0, 10));
    assert_eq!(named(&vms(1, 10), Some(OWN), 1), (1, 10));
}

#[test]
fn a_client_of_an_unknown_zone_or_a_region_of_one_zone_is_told_all_in_order() {
    assert_eq!(named(&vms(10, 10), None, 1), (10, 10));
    assert_eq!(named(&vms(10, 10), Some(ZoneKey(7)), 1), (10, 10));
    let one_zone = vms(30, 0);
    let in_order: Vec<_> = one_zone.iter().map(|vm| vm.ip).collect();
    for zone in [None, Some(OWN), Some(OTHER)] {
        let mut rng = SmallRng::seed_from_u64(1);
        assert_eq!(choose_entry_vms(&one_zone, zone, &mut rng), in_order);
    }
}
