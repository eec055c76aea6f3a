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

/// The longest idle timeout that peers don't announce: they do so in whole seconds.
const UNANNOUNCED_TIMEOUT_MAX: Duration = Duration::from_secs(1);

/// The time within which a process that ends closes its connections.
const SIMULTANEOUS: Duration = Duration::from_millis(50);

/// How much the idle times of two connections may differ that a peer closed by the same timeout.
const IDLE_TIMEOUT_SPREAD: Duration = Duration::from_millis(30);

/// How much the idle times of two connections differ at least that a peer closes at once, but not by a timeout: a VM
/// that is busy notices closes late.
const IDLE_DIFFERENCE_MIN: Duration = Duration::from_millis(200);

/// An idle connection whose peer has not announced that it closes it.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleTime {
    pub(super) since: Instant,
    /// The idle timeout that the peer announced.
    pub(super) keep_alive: Option<Duration>,
}

/// An idle connection that its peer has closed.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostIdle {
    /// For how long it was idle.
    time: Duration,
    /// Whether the peer may have closed it because it was idle.
    may_be_timeout: bool,
}

/// A connection that its peer has closed unannounced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostConnection {
    /// The address of the peer.
    pub address: SocketAddr,
    /// Whether the peer may have closed it because it was idle.
    pub may_be_timeout: bool,
}

/// Whether a connection is idle; clones share it.
#[derive(Clone, Debug)]
pub(super) struct ConnectionUse {
    pub(super) opened: Instant,
    idle: Rc<Cell<Option<IdleTime>>>,
    is_cut: Rc<Cell<bool>>,
}

impl ConnectionUse {
    pub(super) fn new(opened: Instant) -> Self {
        Self {
            opened,
            idle: Rc::default(),
            is_cut: Rc::default(),
        }
    }

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
    pub(super) fn lost_after(&self) -> Option<LostIdle> {
        let idle = self.idle.get()?;
        let time = idle.since.elapsed();
        let is_late = |keep_alive| time + KEEP_ALIVE_TOLERANCE >= keep_alive;
        (!idle.keep_alive.is_some_and(is_late)).then_some(LostIdle {
            time,
            may_be_timeout: idle.keep_alive.is_none() && time < UNANNOUNCED_TIMEOUT_MAX,
        })
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
    /// Records that a peer closed a connection that had been idle for a time; returns whether it may have done so
    /// because of that.
    ///
    /// It did if it closed another one after the same time before. It did not if it closed two at once that had
    /// been idle for different times, or if one was idle for longer than an unannounced timeout.
    fn on_closed(&mut self, address: SocketAddr, lost: LostIdle) -> TimeoutEvidence {
        if !lost.may_be_timeout {
            return TimeoutEvidence::Ended;
        }
        let last = self.last.insert(address, (lost.time, Instant::now()));
        let Some((last_time, at)) = last else {
            return TimeoutEvidence::Unknown;
        };
        let is_same = last_time.abs_diff(lost.time) <= IDLE_TIMEOUT_SPREAD;
        if is_same && at.elapsed() > lost.time {
            self.timeouts.insert(address, lost.time);
            return TimeoutEvidence::Timeout;
        }
        let is_other = last_time.abs_diff(lost.time) > IDLE_DIFFERENCE_MIN;
        match is_other && at.elapsed() < SIMULTANEOUS {
            true => TimeoutEvidence::Ended,
            false => TimeoutEvidence::Unknown,
        }
    }
}

/// What a closed idle connection tells, beside those closed before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TimeoutEvidence {
    /// It was idle for too long.
    Timeout,
    /// It was not: all connections were closed.
    Ended,
    /// Either.
    Unknown,
}

/// The open connections, and the addresses that closed one unannounced.
#[derive(Debug, Default)]
pub(super) struct OpenConnections {
    /// When each was opened.
    by_address: RefCell<HashMap<SocketAddr, Slab<Monotonic>>>,
    observed: RefCell<ObservedTimeouts>,
    /// When each peer last closed a connection unannounced.
    last_lost_at: RefCell<HashMap<SocketAddr, Instant>>,
    lost: RefCell<Vec<LostConnection>>,
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

    /// Returns the idle timeout of a peer that doesn't announce it; `None` if it is not known.
    pub(super) fn observed_timeout(&self, address: SocketAddr) -> Option<Duration> {
        self.observed.borrow().timeouts.get(&address).copied()
    }

    /// Records that a peer closed a connection unannounced; `idle` is `None` if it was in use.
    ///
    /// An answer that is broken off is no end of the process, unless another connection that was open at the same
    /// time is closed at once; `opened_at` is when this one was opened.
    pub(super) fn on_lost(&self, address: SocketAddr, opened_at: Instant, idle: Option<LostIdle>) {
        let now = Instant::now();
        let last_lost_at = self.last_lost_at.borrow_mut().insert(address, now);
        let is_one_of_several =
            last_lost_at.is_some_and(|at| opened_at < at && now - at < SIMULTANEOUS);
        let may_be_timeout = match idle {
            None if is_one_of_several => false,
            None => return,
            Some(idle) => match self.observed.borrow_mut().on_closed(address, idle) {
                TimeoutEvidence::Timeout => return,
                TimeoutEvidence::Ended => false,
                TimeoutEvidence::Unknown => true,
            },
        };
        self.lost.borrow_mut().push(LostConnection {
            address,
            may_be_timeout,
        });
        self.has_lost.notify_one();
    }

    /// Waits for connections that were closed unannounced, and returns them.
    pub(super) async fn next_lost(&self) -> Vec<LostConnection> {
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
