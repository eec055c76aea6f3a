//! Messages of other VMs are dated by the fastest one of each.

use std::net::Ipv4Addr;

use figramp::fleet::PeerClocks;

use crate::belief::support::at;

const PEER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

/// Returns when a message was sent that is read at `now_ms`, in whole milliseconds: the clocks may drift.
fn sending_ms(clocks: &mut PeerClocks, now_ms: u64, incarnation: u64, sent_ms: u64) -> u64 {
    let sent_at = clocks.sending_time(at(now_ms), PEER, incarnation, at(sent_ms));
    sent_at.as_ms()
}

/// The clock of the peer is 5 s ahead, and a message takes at least 2 ms.
#[test]
fn a_message_that_is_read_late_is_dated_when_it_was_sent() {
    let mut clocks = PeerClocks::default();
    assert_eq!(sending_ms(&mut clocks, 1_002, 1, 6_000), 1_002);
    assert_eq!(sending_ms(&mut clocks, 2_900, 1, 7_000), 2_002);
}

#[test]
fn a_faster_message_dates_those_after_it() {
    let mut clocks = PeerClocks::default();
    assert_eq!(sending_ms(&mut clocks, 1_800, 1, 6_000), 1_800);
    assert_eq!(sending_ms(&mut clocks, 2_002, 1, 7_000), 2_002);
    assert_eq!(sending_ms(&mut clocks, 3_500, 1, 8_000), 3_002);
}

#[test]
fn a_vm_that_has_started_again_has_another_clock() {
    let mut clocks = PeerClocks::default();
    sending_ms(&mut clocks, 1_002, 1, 6_000);
    assert_eq!(
        clocks.sending_time(at(9_000), PEER, 2, at(100)).as_ms(),
        9_000
    );
}

#[test]
fn a_message_sent_before_the_start_of_the_local_process_is_dated_at_its_start() {
    let mut clocks = PeerClocks::default();
    sending_ms(&mut clocks, 100, 1, 6_000);
    assert_eq!(clocks.sending_time(at(200), PEER, 1, at(5_000)).as_ms(), 0);
}
