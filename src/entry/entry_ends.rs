//! What the connections to endpoints, and other VMs, tell of the ends of their processes.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::task::spawn_local;
use tokio::time::sleep;

use super::EntryState;
use crate::fleet::EndpointEnd;
use crate::placement::EndpointKey;
use crate::placement::EndpointTable;
use crate::placement::LOST_CONNECTIONS_TIME;

impl EntryState {
    /// Records that an endpoint closed a connection unannounced.
    ///
    /// If its process has ended, the other connections to it are closed as well.
    pub fn on_connection_lost(state: &Rc<Self>, key: EndpointKey, address: SocketAddr) {
        let lost_at = state.now();
        let mut endpoints = state.endpoints.borrow_mut();
        if endpoints.on_connection_lost(lost_at, key) {
            log_ended(&endpoints, key, "connection lost");
        }
        let state = Rc::clone(state);
        spawn_local(async move {
            sleep(LOST_CONNECTIONS_TIME).await;
            if state.connection_pool.has_older(address, lost_at) {
                let mut endpoints = state.endpoints.borrow_mut();
                endpoints.on_connections_kept(key, lost_at);
            } else {
                state.gossip_now.notify_one();
            }
        });
    }

    /// Adds the ends of processes that another VM reported.
    pub fn on_ends_reported(&self, ends: impl IntoIterator<Item = EndpointEnd>) {
        let mut endpoints = self.endpoints.borrow_mut();
        let ended = endpoints.on_peer_ends(ends, |address, at| {
            self.connection_pool.has_older(address, at)
        });
        if !ended.is_empty() {
            self.gossip_now.notify_one();
        }
        for key in ended {
            log_ended(&endpoints, key, "reported by a VM");
        }
    }
}

/// Watches for connections to endpoints that are closed while they are idle; never returns.
pub(super) async fn watch_connections(state: Rc<EntryState>) {
    loop {
        for lost in state.connection_pool.next_lost().await {
            let key = state.endpoints.borrow().at_address(lost.address);
            let key = key.filter(|_| !lost.may_be_timeout || !has_peers(&state));
            if let Some(key) = key {
                EntryState::on_connection_lost(&state, key, lost.address);
            }
        }
    }
}

/// Returns whether other VMs of the region would tell this one of the end of a process.
fn has_peers(state: &EntryState) -> bool {
    let (fleet, now) = (state.fleet.borrow(), state.now());
    let peers = fleet.alive_in(now, true).count();
    peers > 0
}

pub(super) fn log_ended(endpoints: &EndpointTable, key: EndpointKey, evidence: &str) {
    if let Some(state) = endpoints.get(key) {
        log::info!(
            endpoint = state.record().instance.id.as_str(),
            evidence;
            "the process of an endpoint may have ended"
        );
    }
}
