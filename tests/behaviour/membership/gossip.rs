//! Heartbeats reach all VMs, failures are detected, and a pause begins a new incarnation.

use figramp::catalog::ServiceState;
use figramp::catalog::VmKey;
use figramp::limits::LimitsSettings;
use figramp::membership::Liveness;
use figramp::membership::RegionContact;
use figramp::publication::VmListEntry;

use crate::limits::fleet::Fleet;
use crate::limits::fleet::FleetPlan;

const S: u64 = 1_000_000;

/// Runs a fleet until its VMs know each other.
fn fleet(vms_per_region: usize) -> Fleet {
    let plan = FleetPlan {
        seed: 11,
        regions: 3,
        vms_per_region,
        accounts: Vec::new(),
    };
    let mut fleet = Fleet::new(&plan, LimitsSettings::default());
    fleet.network.counts_bytes = true;
    fleet.run_for(20 * S);
    fleet
}

fn seen(fleet: &Fleet, by: VmKey, vm: VmKey) -> Liveness {
    fleet.vms[&by].view.vms[vm].liveness
}

fn seen_by_all(fleet: &Fleet, vm: VmKey, liveness: Liveness) -> bool {
    let mut others = fleet.vms.values().filter(|other| other.key != vm);
    others.all(|other| other.view.vms[vm].liveness == liveness)
}

#[test]
fn all_vms_see_all_others_as_alive_in_all_regions() {
    let fleet = fleet(7);
    for vm in fleet.vms.keys() {
        assert!(seen_by_all(&fleet, *vm, Liveness::Alive));
        assert_eq!(fleet.vms[vm].view.contact, RegionContact::Majority);
    }
}

#[test]
fn a_silent_vm_is_dead_within_the_time_limit() {
    let mut fleet = fleet(5);
    let dead = fleet.vm_at(0, 0);
    let peer = fleet.vm_at(0, 1);
    fleet.kill(dead);
    fleet.run_for(30 * S);
    assert_eq!(seen(&fleet, peer, dead), Liveness::Dead);
    fleet.run_for(15 * S);
    assert!(seen_by_all(&fleet, dead, Liveness::Dead));
}

#[test]
fn a_partitioned_vm_has_no_majority_and_is_alive_again_after_the_partition() {
    let mut fleet = fleet(5);
    let partitioned = fleet.vm_at(0, 0);
    fleet.network.groups.insert(partitioned, 1);
    fleet.run_for(30 * S);
    assert_eq!(
        fleet.vms[&partitioned].view.contact,
        RegionContact::Minority
    );
    fleet.network.groups.clear();
    fleet.run_for(15 * S);
    assert_eq!(
        fleet.vms[&partitioned].view.contact,
        RegionContact::Majority
    );
    assert!(seen_by_all(&fleet, partitioned, Liveness::Alive));
}

#[test]
fn a_paused_process_comes_back_with_a_new_incarnation_and_without_leases() {
    let mut fleet = fleet(3);
    fleet.run_for(10 * S);
    let vm = fleet.vm_at(0, 0);
    let peer = fleet.vm_at(0, 1);
    let before = fleet.vms[&vm].membership.incarnation();
    fleet.pause(vm, 6 * S);
    fleet.run_for(6 * S + S / 5);
    assert!(fleet.vms[&vm].membership.incarnation() > before);
    assert!(fleet.vms[&vm].limits.held_shards().is_empty());
    fleet.run_for(10 * S);
    let known = fleet.vms[&peer].view.vms[vm].incarnation;
    assert_eq!(known, fleet.vms[&vm].membership.incarnation());
}

#[test]
fn a_leaving_vm_gets_no_new_work_anywhere_within_seconds() {
    let mut fleet = fleet(5);
    let leaving = fleet.vm_at(1, 0);
    fleet.vms.get_mut(&leaving).unwrap().is_leaving = true;
    fleet.run_for(8 * S);
    let peer = fleet.vm_at(1, 1);
    assert!(!fleet.vms[&peer].view.vms[leaving].is_serving());
    fleet.run_for(8 * S);
    assert!(fleet
        .vms
        .values()
        .all(|vm| !vm.view.vms[leaving].is_serving()));
}

#[test]
fn a_vm_removed_from_the_platforms_list_gets_no_new_work_but_one_never_listed_does() {
    let mut fleet = fleet(3);
    let (observer, gone, new) = (fleet.vm_at(0, 0), fleet.vm_at(0, 1), fleet.vm_at(0, 2));
    let catalog = fleet.published.latest().clone();
    let listed = |vm: VmKey| VmListEntry {
        vm: catalog.vms[vm].name.clone(),
        state: ServiceState::Active,
    };
    let lists = [vec![listed(observer), listed(gone)], vec![listed(observer)]];
    let state = fleet.vms.get_mut(&observer).unwrap();
    for list in &lists {
        state.membership.on_vm_list(&catalog, list);
    }
    fleet.run_for(S);
    let view = &fleet.vms[&observer].view;
    assert!(!view.vms[gone].is_serving());
    assert!(view.vms[new].is_serving());
}

#[test]
fn gossip_stays_within_the_control_budget() {
    let mut fleet = fleet(9);
    let (before, time_s) = (fleet.network.membership_bytes, 20);
    fleet.run_for(time_s * S);
    let bytes = fleet.network.membership_bytes - before;
    assert!(bytes / time_s / (fleet.vms.len() as u64) < 2_000);
}
