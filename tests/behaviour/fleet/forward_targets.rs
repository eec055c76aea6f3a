//! Each VM forwards to a few VMs of a region, and all of them together to all of its VMs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use figramp::deployment::RegionKey;
use figramp::fleet::FleetView;
use figramp::fleet::NameHash;
use rand::rngs::SmallRng;
use rand::SeedableRng;

use super::support::row;
use super::support::view;
use crate::belief::support::at;

const SERVICE: NameHash = NameHash(1);

const VM_COUNT: u8 = 120;

const REQUEST_COUNT: usize = 200;

/// The region of the VMs whose numbers divide by three.
const REGION: RegionKey = RegionKey(0);

fn full_view(number: u8) -> FleetView {
    let mut view = view(number);
    for other in 0..VM_COUNT {
        view.merge(at(0), &row(other, 1), true);
    }
    view
}

/// Returns the VMs to which a VM forwards requests of which these VMs were tried.
fn targets(number: u8, tried: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
    let view = full_view(number);
    let mut rng = SmallRng::seed_from_u64(u64::from(number));
    let targets = (0..REQUEST_COUNT).map(|_| {
        let target = view.forward_target(at(0), REGION, SERVICE, tried, &mut rng);
        target.expect("a VM").0
    });
    targets.collect()
}

#[test]
fn a_vm_forwards_to_few_vms_of_a_region() {
    let distinct: BTreeSet<Ipv4Addr> = targets(1, &[]).into_iter().collect();
    assert!((2..=4).contains(&distinct.len()), "{distinct:?}");
}

#[test]
fn other_vms_of_the_region_are_used_once_these_were_tried() {
    let tried: Vec<Ipv4Addr> = targets(1, &[]);
    let others = targets(1, &tried);
    assert!(others.iter().all(|other| !tried.contains(other)));
}

#[test]
fn the_only_vm_of_a_region_forwards_to_all_of_another() {
    let mut view = view(1);
    for other in (0..VM_COUNT).filter(|number| number % 3 == 0) {
        view.merge(at(0), &row(other, 1), true);
    }
    let mut rng = SmallRng::seed_from_u64(1);
    let targets = (0..REQUEST_COUNT * 10).map(|_| {
        let target = view.forward_target(at(0), REGION, SERVICE, &[], &mut rng);
        target.expect("a VM").0
    });
    let distinct: BTreeSet<Ipv4Addr> = targets.collect();
    assert_eq!(distinct.len(), usize::from(VM_COUNT) / 3);
}

#[test]
fn the_forwards_of_all_vms_are_spread_over_the_region() {
    let mut counts = BTreeMap::new();
    for number in (0..VM_COUNT).filter(|number| number % 3 != 0) {
        for target in targets(number, &[]) {
            *counts.entry(target).or_insert(0) += 1;
        }
    }
    let senders = usize::from(VM_COUNT) * 2 / 3;
    let mean = senders * REQUEST_COUNT / (usize::from(VM_COUNT) / 3);
    let most = counts.values().copied().max().expect("a VM");
    assert!(counts.len() * 3 > usize::from(VM_COUNT) - 15, "{counts:?}");
    assert!(most < mean * 3, "{most} of {mean} in the mean");
}
