//! Notices connections that their peers close while no request uses them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use slab::Slab;
use tokio::sync::Notify;

use crate::clock::Monotonic;

/// Whether a connection is idle, although its peer has not announced that it closes it; clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct ConnectionUse {
    is_idle: Rc<Cell<bool>>,
}

impl ConnectionUse {
    pub(super) fn set_idle(&self, is_idle: bool) {
        self.is_idle.set(is_idle);
    }

    pub(super) fn is_idle(&self) -> bool {
        self.is_idle.get()
    }
}

/// The open connections, and the addresses that closed one unannounced.
#[derive(Debug, Default)]
pub(super) struct OpenConnections {
    /// When each was opened.
    by_address: RefCell<HashMap<SocketAddr, Slab<Monotonic>>>,
    lost: RefCell<Vec<SocketAddr>>,
    has_lost: Notify,
}

impl OpenConnections {
    /// Adds a connection, until the returned guard is dropped.
    pub(super) fn add(self: &Rc<Self>, address: SocketAddr, opened_at: Monotonic) -> OpenGuard {
        let mut by_address = self.by_address.borrow_mut();
        let key = by_address.entry(address).or_default().insert(opened_at);
        OpenGuard {
            connections: Rc::clone(self),
            address,
            key,
        }
    }

    /// Returns whether a connection to an address that was opened before a time is still open.
    pub(super) fn has_older(&self, address: SocketAddr, at: Monotonic) -> bool {
        let by_address = self.by_address.borrow();
        let connections = by_address.get(&address);
        connections.is_some_and(|opened| opened.iter().any(|(_, opened_at)| *opened_at < at))
    }

    /// Returns the number of open connections to an address.
    pub(super) fn count(&self, address: SocketAddr) -> usize {
        let by_address = self.by_address.borrow();
        by_address.get(&address).map_or(0, Slab::len)
    }

    /// Records that a peer closed a connection unannounced.
    pub(super) fn on_lost(&self, address: SocketAddr) {
        self.lost.borrow_mut().push(address);
        self.has_lost.notify_one();
    }

    /// Waits for connections that were closed unannounced, and returns their addresses.
    pub(super) async fn next_lost(&self) -> Vec<SocketAddr> {
        loop {
            let lost = std::mem::take(&mut *self.lost.borrow_mut());
            if !lost.is_empty() {
                return lost;
            }
            self.has_lost.notified().await;
        }
    }
}

/// Keeps a connection among the open ones.
#[derive(Debug)]
pub(super) struct OpenGuard {
    connections: Rc<OpenConnections>,
    address: SocketAddr,
    key: usize,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let mut by_address = self.connections.by_address.borrow_mut();
        if let Some(opened) = by_address.get_mut(&self.address) {
            opened.try_remove(self.key);
            if opened.is_empty() {
                by_address.remove(&self.address);
            }
        }
    }
}
