//! Which VMs the directory names to a client of a zone.

use std::collections::BTreeSet;

use figramp::deployment::ZoneKey;
use figramp::fleet::choose_entry_vms;
use figramp::fleet::EntryCandidate;

use super::support::ip;

const OWN: ZoneKey = ZoneKey(1);
const OTHER: ZoneKey = ZoneKey(4);

/// Returns VMs of two zones; those of the other one have numbers from 101.
fn vms(own_count: u8, other_count: u8) -> Vec<EntryCandidate> {
    let own = (1..=own_count).map(|number| EntryCandidate {
        ip: ip(number),
        zone: OWN,
        is_cut_off: false,
    });
    let others = (1..=other_count).map(|number| EntryCandidate {
        ip: ip(100 + number),
        zone: OTHER,
        is_cut_off: false,
    });
    own.chain(others).collect()
}

/// Returns how many VMs of the own and of the other zone a client is told.
fn named(vms: &[EntryCandidate], zone: Option<ZoneKey>, asked: u8) -> (usize, usize) {
    let named = choose_entry_vms(vms, zone, ip(asked));
    let own = named.iter().filter(|ip| ip.octets()[3] <= 100).count();
    (own, named.len() - own)
}

#[test]
fn a_client_is_told_the_vms_of_its_zone_and_a_few_others() {
    assert_eq!(named(&vms(10, 10), Some(OWN), 1), (10, 3));
    assert_eq!(named(&vms(20, 16), Some(OWN), 1), (20, 6));
    assert_eq!(named(&vms(20, 16), Some(OTHER), 1), (5, 16));
}

#[test]
fn the_others_differ_by_the_vm_that_is_asked() {
    let vms = vms(10, 10);
    let mut seen = BTreeSet::new();
    for asked in 0..40 {
        seen.extend(choose_entry_vms(&vms, Some(OWN), ip(asked)));
    }
    assert_eq!(seen.len(), 20);
}

#[test]
fn the_same_vms_are_named_when_another_one_leaves() {
    let before = vms(10, 10);
    let named = choose_entry_vms(&before, Some(OWN), ip(1));
    for left in before.iter().filter(|vm| !named.contains(&vm.ip)) {
        let after: Vec<EntryCandidate> = before.iter().copied().filter(|vm| vm != left).collect();
        assert_eq!(choose_entry_vms(&after, Some(OWN), ip(1)), named);
    }
}

#[test]
fn vms_that_reach_no_endpoint_are_no_vms_of_the_zone() {
    let mut cut_off = vms(10, 10);
    for vm in cut_off.iter_mut().filter(|vm| vm.zone == OWN).take(4) {
        vm.is_cut_off = true;
    }
    assert_eq!(named(&cut_off, Some(OWN), 1), (10, 10));
}

#[test]
fn a_large_zone_leaves_room_for_others_in_an_answer() {
    for asked in 0..20 {
        let (own, others) = named(&vms(100, 100), Some(OWN), asked);
        assert_eq!(own + others, 64);
        assert!(others >= 16, "{others}");
    }
}

#[test]
fn a_zone_with_few_vms_shares_the_load_of_its_clients() {
    for own_count in 0..=3 {
        let all = (usize::from(own_count), 4);
        assert_eq!(named(&vms(own_count, 4), Some(OWN), 1), all);
    }
    assert_eq!(named(&vms(5, 10), Some(OWN), 1), (5, 10));
    assert_eq!(named(&vms(6, 10), Some(OWN), 1), (6, 2));
    assert_eq!(named(&vms(9, 10), Some(OWN), 1), (9, 3));
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
        assert_eq!(choose_entry_vms(&one_zone, zone, ip(1)), in_order);
    }
}
