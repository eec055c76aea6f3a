//! The time over which one process of an endpoint was seen.

use crate::clock::Monotonic;

/// The time over which one process of an endpoint was seen, by its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessSighting {
    /// When a connection to it was opened first.
    pub since: Monotonic,
    /// When a request was sent last that it answered over such a connection. Its answers may be read much later
    /// than they arrive.
    pub seen_at: Monotonic,
}

impl ProcessSighting {
    /// Extends it by another one, which may be of another process unless they overlap; the later one holds
    /// then.
    pub(super) fn extended(self, other: Self) -> Self {
        if other.since <= self.seen_at && self.since <= other.seen_at {
            return Self {
                since: self.since.min(other.since),
                seen_at: self.seen_at.max(other.seen_at),
            };
        }
        match other.seen_at < self.since {
            true => self,
            false => other,
        }
    }

    /// Returns whether the process was seen before and after a time.
    pub(super) fn covers(self, at: Monotonic) -> bool {
        self.since < at && self.seen_at > at
    }
}
