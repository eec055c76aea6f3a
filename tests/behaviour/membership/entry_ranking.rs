//! The list of VMs for callers: local and less loaded ones first, leaving and dead ones never.

use std::time::Duration;

use figramp::catalog::VmKey;
use figramp::clock::Monotonic;
use figramp::membership::EntryRanking;
use figramp::membership::Incarnation;
use figramp::membership::Liveness;
use figramp::membership::Membership;
use figramp::membership::MembershipSettings;
use figramp::membership::MembershipView;

use crate::limits::fleet::Published;

fn view(published: &Published) -> MembershipView {
    let catalog = published.latest();
    let local_vm = catalog.vms.keys().min().unwrap();
    let settings = MembershipSettings::default();
    let membership = Membership::new(settings, local_vm, Incarnation(1), Monotonic::ZERO);
    let mut view = membership.view(Monotonic::ZERO, catalog);
    for seen in view.vms.values_mut() {
        seen.liveness = Liveness::Alive;
    }
    view
}

fn ranked(published: &Published, view: &MembershipView, tie: u64) -> Vec<VmKey> {
    EntryRanking::new(published.latest(), view, None, tie, Duration::from_secs(10)).vms
}

#[test]
fn vms_of_the_local_region_come_first_and_highly_loaded_ones_last() {
    let published = Published::new(2, 3, &[]);
    let mut view = view(&published);
    let local: Vec<VmKey> = ranked(&published, &view, 1)[..3].to_vec();
    let region = published.latest().vms[view.local_vm].region;
    assert!(local
        .iter()
        .all(|vm| published.latest().vms[*vm].region == region));
    view.vms[local[0]].load_permille = 950;
    view.vms[local[1]].load_permille = 500;
    let ranked = ranked(&published, &view, 1);
    assert_eq!(ranked[0], local[2]);
    assert_eq!(ranked[1], local[1]);
    assert_eq!(ranked[5], local[0]);
}

#[test]
fn leaving_and_dead_vms_are_never_listed_and_suspected_ones_come_last() {
    let published = Published::new(2, 3, &[]);
    let mut view = view(&published);
    let all = ranked(&published, &view, 1);
    view.vms[all[0]].is_leaving = true;
    view.vms[all[1]].liveness = Liveness::Dead;
    view.vms[all[2]].liveness = Liveness::Suspected;
    let ranked = ranked(&published, &view, 1);
    assert_eq!(ranked.len(), 4);
    assert_eq!(ranked[3], all[2]);
}

#[test]
fn callers_are_spread_over_equally_good_vms() {
    let published = Published::new(1, 5, &[]);
    let view = view(&published);
    let mut firsts: Vec<VmKey> = (0..64)
        .map(|tie| ranked(&published, &view, tie)[0])
        .collect();
    firsts.sort();
    firsts.dedup();
    assert_eq!(firsts.len(), 5);
}
