//! Asks again whether a request is wanted when its first bytes are written, and knows whether any were.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::io;
use std::rc::Rc;
use std::task::Poll;

/// Returns whether a request is still wanted.
type Condition = Box<dyn Fn() -> bool>;

/// The gate of one connection to an endpoint or another VM; clones share it.
///
/// The task that writes a request may run long after the one that hands the request over.
#[derive(Clone, Default)]
pub(super) struct SendGate {
    is_wanted: Rc<RefCell<Option<Condition>>>,
    has_stopped: Rc<Cell<bool>>,
    has_written: Rc<Cell<bool>>,
}

impl SendGate {
    /// Sets the condition under which the next request is written.
    pub(super) fn set(&self, is_wanted: impl Fn() -> bool + 'static) {
        *self.is_wanted.borrow_mut() = Some(Box::new(is_wanted));
    }

    /// Starts the next request, of which nothing is written yet.
    pub(super) fn start(&self) {
        self.has_written.set(false);
    }

    /// Returns whether the next write is the first one of a request.
    pub(super) fn is_unwritten(&self) -> bool {
        !self.has_written.get()
    }

    /// Records a write; bytes that the kernel took count as written, whatever becomes of them.
    pub(super) fn on_written(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.has_written.set(true);
        }
    }

    /// Returns whether nothing of the last request was written, and then ends all writes: the HTTP client may
    /// still hold the request in its buffer.
    pub(super) fn stop_unwritten(&self) -> bool {
        if self.is_unwritten() {
            self.has_stopped.set(true);
        }
        self.is_unwritten()
    }

    /// Returns whether a request was stopped, of which nothing was written.
    pub(super) fn has_stopped(&self) -> bool {
        self.has_stopped.get()
    }

    /// Checks the condition before the first write of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is not wanted any more; the connection ends with it.
    pub(super) fn on_write(&self) -> io::Result<()> {
        let is_wanted = self.is_wanted.borrow_mut().take();
        if is_wanted.is_some_and(|is_wanted| !is_wanted()) {
            self.has_stopped.set(true);
        }
        match self.has_stopped.get() {
            true => Err(io::ErrorKind::ConnectionAborted.into()),
            false => Ok(()),
        }
    }
}

impl fmt::Debug for SendGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SendGate")
            .field("has_stopped", &self.has_stopped)
            .finish_non_exhaustive()
    }
}
