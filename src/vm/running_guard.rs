//! Counts a request as running until it is dropped.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use super::Blackboard;

/// Counts a request as running until it is dropped.
#[derive(Debug)]
pub(super) struct RunningGuard {
    blackboard: Arc<Blackboard>,
}

impl RunningGuard {
    /// Counts a request; returns `None` if `max` requests run already.
    pub(super) fn try_new(blackboard: &Arc<Blackboard>, max: u32) -> Option<Self> {
        let before = blackboard.running_count.fetch_add(1, Ordering::AcqRel);
        let guard = Self {
            blackboard: Arc::clone(blackboard),
        };
        (before < max).then_some(guard)
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.blackboard.running_count.fetch_sub(1, Ordering::AcqRel);
    }
}
