//! Counts the requests that a shutdown waits for.

use std::cell::Cell;
use std::rc::Rc;

use crate::entry::EntryState;

/// Counts a request as running, from its arrival to the end of its answer.
pub(super) struct ServedRequest {
    running_count: Rc<Cell<u32>>,
}

impl ServedRequest {
    pub(super) fn new(state: &EntryState) -> Self {
        let running_count = Rc::clone(&state.running_count);
        running_count.set(running_count.get() + 1);
        Self { running_count }
    }
}

impl Drop for ServedRequest {
    fn drop(&mut self) {
        let count = self.running_count.get();
        self.running_count.set(count.saturating_sub(1));
    }
}
