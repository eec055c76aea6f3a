//! Which open questions are waited for.

use std::net::Ipv4Addr;

use figramp::streams::OriginExchange;
use figramp::streams::StreamKey;

use crate::fleet::support::ip;

const STREAM: StreamKey = StreamKey(1);

fn exchange() -> OriginExchange {
    let mut exchange = OriginExchange::default();
    exchange.ask([ip(1), ip(2)], STREAM);
    exchange
}

fn is_alive(vm: Ipv4Addr) -> bool {
    vm != ip(2)
}

#[test]
fn answers_of_live_vms_are_waited_for() {
    assert!(exchange().is_unanswered(STREAM, is_alive));
}

#[test]
fn the_answer_of_a_dead_vm_is_not_waited_for() {
    let mut exchange = exchange();
    exchange.on_answer(ip(1), STREAM);
    assert!(exchange.is_unanswered(STREAM, |_| true));
    assert!(!exchange.is_unanswered(STREAM, is_alive));
}
