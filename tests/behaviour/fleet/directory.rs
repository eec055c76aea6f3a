//! Which VMs the directory lists for clients.

use figramp::deployment::RegionKey;
use figramp::fleet::VmPhase;

use super::support::ip;
use super::support::row;
use super::support::view;
use crate::belief::support::at;

#[test]
fn only_ready_live_vms_of_the_region_are_listed() {
    let mut fleet = view(3);
    fleet.merge(at(0), &row(6, 1), true);
    let mut leaving = row(9, 1);
    leaving.phase = VmPhase::Leaving;
    fleet.merge(at(0), &leaving, true);
    let mut starting = row(12, 1);
    starting.phase = VmPhase::Starting;
    fleet.merge(at(0), &starting, true);
    fleet.merge(at(0), &row(4, 1), true);
    assert_eq!(fleet.ready_in(at(1_000), RegionKey(0)), [ip(3), ip(6)]);
    assert_eq!(fleet.ready_in(at(5_000), RegionKey(0)), [ip(3)]);
}

#[test]
fn an_unreachable_vm_is_not_listed_until_a_newer_row_arrives() {
    let mut fleet = view(3);
    fleet.merge(at(4_000), &row(6, 1), true);
    fleet.on_unreachable(ip(6));
    assert_eq!(fleet.ready_in(at(4_100), RegionKey(0)), [ip(3)]);
    fleet.merge(at(4_200), &row(6, 2), true);
    assert_eq!(fleet.ready_in(at(4_300), RegionKey(0)), [ip(3), ip(6)]);
}
