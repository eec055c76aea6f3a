//! Control messages between VMs.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use figramp::catalog::Catalog;
use figramp::catalog::TicketNumber;
use figramp::configuration::ConfigurationMessage;
use figramp::configuration::ReplyMode;
use figramp::configuration::RootDigest;
use figramp::configuration::SenderPhase;
use figramp::configuration::Summary;
use figramp::membership::Heartbeat;
use figramp::membership::Incarnation;
use figramp::membership::MembershipMessage;
use figramp::membership::VmStatus;
use figramp::peer::CapnpPeerLink;
use figramp::peer::ConnectionPurpose;
use figramp::peer::MessageKind;
use figramp::peer::PeerFault;
use figramp::peer::PeerLink;
use figramp::peer::PeerMessage;
use figramp::peer::PeerServer;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;

use super::fixture::catalog;
use super::fixture::context;
use super::fixture::forward_request;
use super::fixture::loopback;
use super::fixture::name;
use super::fixture::pair;
use super::fixture::pair_through;
use super::fixture::scripted;
use super::fixture::timings;
use super::fixture::wait_for;
use super::fixture::Script;
use super::fixture::WAIT_MAX;
use super::relay::Relay;

fn summary(ticket: u64) -> PeerMessage {
    PeerMessage::Configuration(ConfigurationMessage::Summary(Summary {
        root: RootDigest(7),
        ticket: TicketNumber(ticket),
        phase: SenderPhase::Ready,
        reply: ReplyMode::Wanted,
    }))
}

fn heartbeat(catalog: &Catalog) -> PeerMessage {
    PeerMessage::Membership(MembershipMessage {
        heartbeats: vec![Heartbeat {
            vm: catalog.vm_named(&name("server")).unwrap(),
            incarnation: Incarnation(3),
            counter: 4,
            status: VmStatus::default(),
        }],
        summaries: Vec::new(),
    })
}

async fn next(messages: &mut UnboundedReceiver<PeerMessage>) -> PeerMessage {
    let message = timeout(WAIT_MAX, messages.recv()).await;
    message
        .expect("no message arrived")
        .expect("the handler was dropped")
}

#[tokio::test]
async fn messages_arrive_unchanged_and_are_counted() {
    let mut pair = pair(Script::Stall);
    let sent = [summary(1), heartbeat(&pair.catalog.load()), summary(2)];
    for message in &sent {
        pair.link.send(pair.serving, message.clone());
    }
    for message in &sent {
        assert_eq!(&next(&mut pair.messages).await, message);
    }
    for (kind, messages) in [
        (MessageKind::Configuration, 2),
        (MessageKind::Membership, 1),
    ] {
        let sent = pair.link_context.counters.sent(kind);
        assert_eq!(sent.messages, messages);
        assert!(sent.bytes > 0);
        assert_eq!(pair.server_context.counters.received(kind), sent);
    }
}

#[tokio::test]
async fn an_unacknowledged_control_connection_is_replaced() {
    let relay = std::cell::OnceCell::new();
    let mut pair = pair_through(Script::Stall, timings(), |address| {
        let (started, reached) = Relay::launch(address);
        assert!(relay.set(started).is_ok());
        reached
    });
    pair.link.send(pair.serving, summary(1));
    assert_eq!(next(&mut pair.messages).await, summary(1));
    relay.get().unwrap().is_silent.store(true, Ordering::SeqCst);
    pair.link.send(pair.serving, summary(2));
    let counters = pair.link_context.counters.clone();
    wait_for("the silent connection to be closed", || {
        counters.faults(PeerFault::Silent) == 1
    })
    .await;
    pair.link.send(pair.serving, summary(3));
    assert_eq!(next(&mut pair.messages).await, summary(3));
}

/// Waits for several pings of a connection for forwarded calls meanwhile.
#[tokio::test]
async fn an_idle_control_connection_sends_nothing() {
    let mut pair = pair(Script::Stall);
    pair.link.send(pair.serving, summary(1));
    next(&mut pair.messages).await;
    let counters = pair.server_context.counters.clone();
    let pings = || counters.received(MessageKind::Ping).messages;
    let request = forward_request(&pair.catalog.load());
    let _answer = pair.link.forward(pair.serving, request).await.unwrap();
    wait_for("the first ping", || pings() > 0).await;
    let before = counters.wire_received_bytes(ConnectionPurpose::Control);
    wait_for("further pings", || pings() > 4).await;
    let after = counters.wire_received_bytes(ConnectionPurpose::Control);
    assert_eq!(before, after);
}

#[tokio::test]
async fn sending_never_waits_for_an_unreachable_peer() {
    const MESSAGES: u64 = 20_000;
    let pair = pair_through(Script::Stall, timings(), |_| loopback());
    for ticket in 0..MESSAGES {
        pair.link.send(pair.serving, summary(ticket));
    }
    let counters = pair.link_context.counters.clone();
    wait_for("all messages to be counted as dropped", || {
        counters.faults(PeerFault::Dropped) == MESSAGES
    })
    .await;
}

/// A VM without a catalog sends to a seed by its address; the seed replies on the same connection.
#[tokio::test]
async fn a_booting_vm_gets_replies_on_its_boot_connection() {
    let (seed_handler, mut seed_messages, _requests) = scripted(Script::Stall);
    let (boot_handler, mut boot_messages, _requests) = scripted(Script::Stall);
    let known = catalog(&[("seed", loopback()), ("boot", loopback())]);
    let seed_context = context("seed", &known, timings());
    let seed = PeerServer::launch(loopback(), seed_context.clone(), seed_handler).unwrap();
    let seed_link = CapnpPeerLink::launch(seed_context).unwrap();
    let empty = Arc::new(ArcSwap::from_pointee(Catalog::default()));
    let boot_context = context("boot", &empty, timings());
    let boot_link = CapnpPeerLink::launch(boot_context.clone()).unwrap();
    let _boot = PeerServer::launch(loopback(), boot_context, boot_handler).unwrap();

    boot_link.send_to_address(seed.address(), summary(0));
    assert_eq!(next(&mut seed_messages).await, summary(0));
    let boot_key = known.load().vm_named(&name("boot")).unwrap();
    seed_link.send(boot_key, summary(9));
    assert_eq!(next(&mut boot_messages).await, summary(9));
}

#[tokio::test]
async fn messages_of_a_vm_that_left_the_roster_are_ignored() {
    let mut pair = pair(Script::Stall);
    pair.link.send(pair.serving, summary(1));
    assert_eq!(next(&mut pair.messages).await, summary(1));
    let without_dialer = catalog(&[("server", loopback())]);
    pair.server_context
        .catalog
        .store(without_dialer.load_full());
    let counters = pair.server_context.counters.clone();
    pair.link.send(pair.serving, summary(2));
    wait_for("the message to be refused", || {
        counters.faults(PeerFault::UnknownName) == 1
    })
    .await;
    let received = timeout(Duration::from_millis(1), pair.messages.recv()).await;
    assert!(received.is_err());
}

/// Replaces the VM by one of the same name at another address.
#[tokio::test]
async fn a_changed_address_is_used_for_the_next_message() {
    let mut pair = pair(Script::Stall);
    pair.link.send(pair.serving, summary(1));
    assert_eq!(next(&mut pair.messages).await, summary(1));
    let (handler, mut messages, _requests) = scripted(Script::Stall);
    let known = catalog(&[("dialer", loopback()), ("server", loopback())]);
    let successor = context("server", &known, timings());
    let server = PeerServer::launch(loopback(), successor, handler).unwrap();
    let moved = catalog(&[("dialer", loopback()), ("server", server.address())]);
    pair.catalog.store(moved.load_full());
    pair.link.send(pair.serving, summary(2));
    assert_eq!(next(&mut messages).await, summary(2));
}
