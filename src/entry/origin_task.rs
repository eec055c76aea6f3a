//! Receives datagrams about streams from other VMs.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

use super::EntryState;
use crate::streams::decode_origin_message;

/// The longest datagram that is received: several times the longest that a VM sends.
const DATAGRAM_MAX_BYTES: usize = 16 * 1024;

/// Receives datagrams about streams, and answers questions; never returns.
pub(super) async fn run(state: Rc<EntryState>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => on_datagram(&state, from, &buffer[..length]),
            Err(error) => log::debug!(error:% = error; "receiving a datagram failed"),
        }
    }
}

fn on_datagram(state: &EntryState, from: SocketAddr, bytes: &[u8]) {
    let SocketAddr::V4(from) = from else {
        return;
    };
    match decode_origin_message(bytes) {
        Ok(message) => state.on_origin_message(state.now(), *from.ip(), &message),
        Err(error) => log::warn!(from:% = from, error:% = error; "dropped an invalid datagram"),
    }
}
