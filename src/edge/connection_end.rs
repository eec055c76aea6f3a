//! Notices connections that their peers close while no request uses them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slab::Slab;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::clock::Monotonic;

/// How much sooner than it announced a peer may close an idle connection.
const KEEP_ALIVE_TOLERANCE: Duration = Duration::from_millis(100);

/// The part of an idle timeout by which two closed connections may differ.
const IDLE_TIMEOUT_SPREAD_DIVISOR: u32 = 5;

/// An idle connection whose peer has not announced that it closes it.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleTime {
    pub(super) since: Instant,
    /// The idle timeout that the peer announced.
    pub(super) keep_alive: Option<Duration>,
}

/// Whether a connection is idle; clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct ConnectionUse {
    idle: Rc<Cell<Option<IdleTime>>>,
    is_cut: Rc<Cell<bool>>,
}

impl ConnectionUse {
    pub(super) fn set(&self, idle: Option<IdleTime>) {
        self.idle.set(idle);
    }

    /// Records that the peer has closed or reset the connection.
    pub(super) fn on_cut(&self) {
        self.is_cut.set(true);
    }

    /// Returns whether the peer has closed or reset the connection.
    pub(super) fn is_cut(&self) -> bool {
        self.is_cut.get()
    }

    /// Returns for how long the connection was idle that its peer has closed; `None` if it was not idle, or the
    /// peer had announced that it would close it.
    pub(super) fn lost_after(&self) -> Option<Duration> {
        let idle = self.idle.get()?;
        let idle_time = idle.since.elapsed();
        let is_late = |keep_alive| idle_time + KEEP_ALIVE_TOLERANCE >= keep_alive;
        (!idle.keep_alive.is_some_and(is_late)).then_some(idle_time)
    }
}

/// The idle timeouts of peers that don't announce them, by the connections that they closed.
#[derive(Debug, Default)]
struct ObservedTimeouts {
    /// The idle time of the last connection that each closed, and when it did.
    last: HashMap<SocketAddr, (Duration, Instant)>,
    timeouts: HashMap<SocketAddr, Duration>,
}

impl ObservedTimeouts {
    /// Records that a peer closed a connection that had been idle for a time; returns whether that is its idle
    /// timeout, as it closed another one after about the same time before.
    fn on_closed(&mut self, address: SocketAddr, idle_time: Duration) -> bool {
        let last = self.last.insert(address, (idle_time, Instant::now()));
        let is_timeout = last.is_some_and(|(last_time, at)| {
            let difference = last_time.abs_diff(idle_time);
            at.elapsed() > idle_time && difference <= idle_time / IDLE_TIMEOUT_SPREAD_DIVISOR
        });
        if is_timeout {
            self.timeouts.insert(address, idle_time);
        }
        is_timeout
    }
}

/// The open connections, and the addresses that closed one unannounced.
#[derive(Debug, Default)]
pub(super) struct OpenConnections {
    /// When each was opened.
    by_address: RefCell<HashMap<SocketAddr, Slab<Monotonic>>>,
    observed: RefCell<ObservedTimeouts>,
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

    /// Returns the idle timeout of a peer that doesn't announce it; `None` if it is not known.
    pub(super) fn observed_timeout(&self, address: SocketAddr) -> Option<Duration> {
        self.observed.borrow().timeouts.get(&address).copied()
    }

    /// Records that a peer closed a connection unannounced that had been idle for a time; `None` if it was in
    /// use.
    pub(super) fn on_lost(&self, address: SocketAddr, idle_time: Option<Duration>) {
        let mut observed = self.observed.borrow_mut();
        if idle_time.is_some_and(|idle_time| observed.on_closed(address, idle_time)) {
            return;
        }
        drop(observed);
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
