//! Counts the calls on a connection, so that a retired connection closes after the last one.

use std::cell::Cell;
use std::rc::Rc;

use tokio_util::sync::CancellationToken;

/// Counts the calls on a connection and closes a retired connection after the last one.
#[derive(Debug)]
pub(super) struct ConnectionUse {
    closed: CancellationToken,
    calls: Cell<usize>,
    is_retired: Cell<bool>,
}

/// Counts as one call until it is dropped.
#[derive(Debug)]
pub(super) struct UseGuard(Rc<ConnectionUse>);

impl ConnectionUse {
    pub(super) fn new(closed: CancellationToken) -> Rc<Self> {
        Rc::new(Self {
            closed,
            calls: Cell::new(0),
            is_retired: Cell::new(false),
        })
    }

    /// Adds a call, which ends when the guard is dropped.
    pub(super) fn add_call(self: &Rc<Self>) -> UseGuard {
        self.calls.set(self.calls.get() + 1);
        UseGuard(self.clone())
    }

    /// Closes the connection as soon as no call uses it.
    pub(super) fn retire(&self) {
        self.is_retired.set(true);
        self.close_if_unused();
    }

    fn close_if_unused(&self) {
        if self.is_retired.get() && self.calls.get() == 0 {
            self.closed.cancel();
        }
    }
}

impl Drop for UseGuard {
    fn drop(&mut self) {
        self.0.calls.set(self.0.calls.get() - 1);
        self.0.close_if_unused();
    }
}
