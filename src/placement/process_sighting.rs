//! The time over which one process of an endpoint was seen.

use std::time::Duration;

use crate::clock::Monotonic;

/// The time for which an answer may lie in a socket before it is read.
const READ_BACKLOG: Duration = Duration::from_millis(250);

/// The time over which one process of an endpoint was seen, by its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessSighting {
    /// When a connection to it was opened first.
    pub since: Monotonic,
    /// When an answer over such a connection arrived last.
    pub seen_at: Monotonic,
}

impl ProcessSighting {
    /// Extends a sighting by an answer over a connection that was opened at `opened_at`; one that was opened
    /// after the last answer may lead to another process, of which the sighting then is.
    pub(super) fn extended(before: Option<Self>, now: Monotonic, opened_at: Monotonic) -> Self {
        let before = before.filter(|before| opened_at + READ_BACKLOG <= before.seen_at);
        Self {
            since: before.map_or(opened_at, |before| before.since.min(opened_at)),
            seen_at: now,
        }
    }

    /// Returns whether the process was seen before and after a time.
    pub(super) fn covers(self, at: Monotonic) -> bool {
        self.since < at && self.seen_at > at + READ_BACKLOG
    }
}
