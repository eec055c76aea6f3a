//! VMs of a region that start together and don't know each other yet.

use super::support::view;
use crate::belief::support::at;

const VM_COUNT: u8 = 60;

/// The number of VMs of a region that may send to one cold endpoint.
const SENDERS: usize = 2;

#[test]
fn vms_that_do_not_know_each_other_yet_do_not_all_send_to_a_cold_endpoint() {
    let senders = (1..=VM_COUNT)
        .filter(|number| number % 3 == 0)
        .filter(|number| view(*number).is_selected(at(500), 7, SENDERS));
    assert!(senders.count() <= SENDERS);
}
