//! The connections that clients and other VMs have opened, and what is held for them.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use slab::Slab;
use tokio::sync::Notify;

use super::request_progress::HeldKind;
use super::request_progress::RequestProgress;
use crate::clock::Monotonic;

/// Unfinished heads, and unread answers, may take the process's memory divided by this.
const HELD_MEMORY_DIVISOR: u64 = 16;

/// Descriptors reserved for other uses than accepted connections: files, listeners, connections to
/// endpoints and other VMs.
const DESCRIPTORS_RESERVED: u64 = 900;

/// The shortest time between two log lines about connections that were closed.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// Why a connection was closed that its client had not closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The head of a request, with empty lines before it, is over the limit.
    HeadTooLong,
    /// The head of a request was not complete in time.
    HeadTimeout,
    /// All connections together hold more memory than they may.
    Memory,
    /// A new connection needed its descriptor, or found none.
    Descriptors,
}

impl CloseReason {
    /// Returns the reason as it appears in metrics and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::HeadTooLong => "head_too_long",
            Self::HeadTimeout => "head_timeout",
            Self::Memory => "memory",
            Self::Descriptors => "descriptors",
        }
    }
}

/// An accepted connection.
#[derive(Debug)]
struct Accepted {
    progress: Cell<RequestProgress>,
    is_closing: Cell<bool>,
    closing: Notify,
}

/// The connections that clients and other VMs have opened on all ports; clones share them.
#[derive(Clone)]
pub struct AcceptedConnections(Rc<Shared>);

/// The memory of one kind that all connections hold.
#[derive(Default)]
struct HeldMemory {
    bytes: Cell<u64>,
    /// The part of it of connections that are about to be dropped.
    closing_bytes: Cell<u64>,
}

impl HeldMemory {
    fn kept_bytes(&self) -> u64 {
        self.bytes.get() - self.closing_bytes.get()
    }

    fn replace(&self, before_bytes: usize, after_bytes: usize) {
        let bytes = self.bytes.get() + after_bytes as u64;
        self.bytes.set(bytes - before_bytes as u64);
    }
}

struct Shared {
    open: RefCell<Slab<Rc<Accepted>>>,
    open_max: u64,
    heads: HeldMemory,
    unread: HeldMemory,
    held_max_bytes: u64,
    closed: Cell<u64>,
    logged_at: Cell<Option<Monotonic>>,
}

/// One accepted connection among all; it leaves them when dropped.
pub struct AcceptedConnection {
    all: AcceptedConnections,
    key: usize,
    accepted: Rc<Accepted>,
}

impl AcceptedConnections {
    /// Creates the connections of a process with this memory and so many descriptors.
    pub fn new(memory_max_bytes: u64, descriptors_max: u64) -> Self {
        Self(Rc::new(Shared {
            open: RefCell::default(),
            open_max: descriptors_max.saturating_sub(DESCRIPTORS_RESERVED).max(1),
            heads: HeldMemory::default(),
            unread: HeldMemory::default(),
            held_max_bytes: memory_max_bytes / HELD_MEMORY_DIVISOR,
            closed: Cell::new(0),
            logged_at: Cell::new(None),
        }))
    }

    /// Adds a connection; returns `None` if there are too many.
    pub fn open(&self, now: Monotonic) -> Option<AcceptedConnection> {
        let mut open = self.0.open.borrow_mut();
        if open.len() as u64 >= self.0.open_max {
            return None;
        }
        let accepted = Rc::new(Accepted {
            progress: Cell::new(RequestProgress::new(now)),
            is_closing: Cell::default(),
            closing: Notify::new(),
        });
        let key = open.insert(Rc::clone(&accepted));
        Some(AcceptedConnection {
            all: self.clone(),
            key,
            accepted,
        })
    }

    /// Closes the connection that new ones need least; returns whether there is one beside those that
    /// serve requests.
    pub fn close_for_new(&self) -> bool {
        let open = self.0.open.borrow();
        let candidates = open.iter().map(|(_, accepted)| accepted);
        let ordered = candidates
            .filter(|accepted| !accepted.is_closing.get())
            .filter_map(|accepted| Some((accepted.progress.get().closing_order()?, accepted)));
        let first = ordered.min_by_key(|(order, _)| *order);
        if let Some((_, accepted)) = first {
            self.close(accepted);
        }
        first.is_some()
    }

    fn held(&self, kind: HeldKind) -> &HeldMemory {
        match kind {
            HeldKind::Heads => &self.0.heads,
            HeldKind::Unread => &self.0.unread,
        }
    }

    /// Closes connections until the others together hold what they may of this kind; returns how many.
    fn close_over_memory(&self, kind: HeldKind) -> u64 {
        let mut closed = 0;
        while self.held(kind).kept_bytes() > self.0.held_max_bytes {
            let open = self.0.open.borrow();
            let candidates = open.iter().map(|(_, accepted)| accepted);
            let kept = candidates.filter(|accepted| !accepted.is_closing.get());
            let Some(accepted) =
                kept.max_by_key(|accepted| accepted.progress.get().closing_rank(kind))
            else {
                break;
            };
            self.close(accepted);
            closed += 1;
        }
        closed
    }

    fn close(&self, accepted: &Accepted) {
        accepted.is_closing.set(true);
        accepted.closing.notify_one();
        for kind in HeldKind::ALL {
            let held_bytes = accepted.progress.get().held_bytes(kind) as u64;
            let closing_bytes = &self.held(kind).closing_bytes;
            closing_bytes.set(closing_bytes.get() + held_bytes);
        }
    }

    /// Logs that connections were closed, at most once in [`LOG_PERIOD`].
    pub fn log_closed(&self, now: Monotonic, reason: CloseReason, count: u64) {
        let shared = &self.0;
        shared.closed.set(shared.closed.get() + count);
        let logged_at = shared.logged_at.get();
        if logged_at.is_some_and(|at| now.since(at) < LOG_PERIOD) {
            return;
        }
        shared.logged_at.set(Some(now));
        log::warn!(
            closed = shared.closed.replace(0),
            last_reason = reason.as_str(),
            open = shared.open.borrow().len();
            "connections over the limits closed"
        );
    }
}

impl AcceptedConnection {
    /// Returns the progress of its request.
    pub fn progress(&self) -> RequestProgress {
        self.accepted.progress.get()
    }

    /// Returns whether it may not read on, as connections that are about to be dropped still hold memory.
    pub fn has_to_wait(&self) -> bool {
        HeldKind::ALL.into_iter().any(|kind| {
            let is_held = self.progress().held_bytes(kind) > 0;
            is_held && self.all.held(kind).bytes.get() > self.all.0.held_max_bytes
        })
    }

    /// Returns whether the connection is about to be dropped.
    pub fn is_closing(&self) -> bool {
        self.accepted.is_closing.get()
    }

    /// Changes the progress; returns how many connections were told to close, as all together hold more
    /// than they may.
    pub fn update(&self, change: impl FnOnce(&mut RequestProgress)) -> u64 {
        if self.is_closing() {
            return 0;
        }
        let mut progress = self.accepted.progress.get();
        let before = progress;
        change(&mut progress);
        self.accepted.progress.set(progress);
        let mut closed = 0;
        for kind in HeldKind::ALL {
            let (before_bytes, after_bytes) = (before.held_bytes(kind), progress.held_bytes(kind));
            self.all.held(kind).replace(before_bytes, after_bytes);
            if after_bytes > before_bytes {
                closed += self.all.close_over_memory(kind);
            }
        }
        closed
    }

    /// Completes once the connection is to be closed.
    pub async fn closing(&self) {
        self.accepted.closing.notified().await;
    }
}

impl Drop for AcceptedConnection {
    fn drop(&mut self) {
        for kind in HeldKind::ALL {
            let held_bytes = self.progress().held_bytes(kind);
            let held = self.all.held(kind);
            held.replace(held_bytes, 0);
            if self.is_closing() {
                let closing_bytes = held.closing_bytes.get() - held_bytes as u64;
                held.closing_bytes.set(closing_bytes);
            }
        }
        self.all.0.open.borrow_mut().remove(self.key);
    }
}

impl fmt::Debug for AcceptedConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("AcceptedConnection")
            .field(&self.progress())
            .finish()
    }
}
