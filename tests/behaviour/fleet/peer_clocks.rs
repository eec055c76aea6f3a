//! Messages of other VMs are dated by the fastest one of each.

use std::net::Ipv4Addr;

use figramp::fleet::PeerClocks;

use crate::belief::support::at;

const PEER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

/// The clock of the peer is 5 s ahead, and a message takes at least 2 ms.
#[test]
fn a_message_that_is_read_late_is_dated_when_it_was_sent() {
    let mut clocks = PeerClocks::default();
    assert_eq!(
        clocks.sending_time(at(1_002), PEER, 1, at(6_000)),
        at(1_002)
    );
    assert_eq!(
        clocks.sending_time(at(2_900), PEER, 1, at(7_000)),
        at(2_002)
    );
}

#[test]
fn a_faster_message_dates_those_after_it() {
    let mut clocks = PeerClocks::default();
    assert_eq!(
        clocks.sending_time(at(1_800), PEER, 1, at(6_000)),
        at(1_800)
    );
    assert_eq!(
        clocks.sending_time(at(2_002), PEER, 1, at(7_000)),
        at(2_002)
    );
    assert_eq!(
        clocks.sending_time(at(3_500), PEER, 1, at(8_000)),
        at(3_002)
    );
}

#[test]
fn a_vm_that_has_started_again_has_another_clock() {
    let mut clocks = PeerClocks::default();
    clocks.sending_time(at(1_002), PEER, 1, at(6_000));
    assert_eq!(
        clocks.sending_time(at(9_000), PEER, 2, at(100)).as_ms(),
        9_000
    );
}

#[test]
fn a_message_sent_before_the_start_of_the_local_process_is_dated_at_its_start() {
    let mut clocks = PeerClocks::default();
    clocks.sending_time(at(100), PEER, 1, at(6_000));
    assert_eq!(clocks.sending_time(at(200), PEER, 1, at(5_000)).as_ms(), 0);
}
