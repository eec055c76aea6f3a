//! When a VM reads the store itself.

use std::time::Duration;

use crate::clock::Monotonic;

/// The pause between two reads of the VM that reads for its region.
///
/// A change reaches the region within the pause, a gossip round and a round trip: under a second.
const READER_PERIOD: Duration = Duration::from_millis(500);

/// The age of the belief at which any other VM reads for itself.
///
/// Twice the age that gossip usually gives, and a quarter of the age at which keys are refused.
const FALLBACK_AGE: Duration = Duration::from_millis(1_300);

/// The pause after a failed read.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);

/// When a VM reads the store itself: regularly as the reader of its region, otherwise only when
/// its peers have told it nothing for too long.
#[derive(Debug, Default)]
pub struct ReadPlan {
    last_sent_at: Option<Monotonic>,
    last_failed_at: Option<Monotonic>,
    has_failed: bool,
}

impl ReadPlan {
    /// Returns whether a read is due.
    pub fn is_due(&self, now: Monotonic, is_reader: bool, confirmed_at: Option<Monotonic>) -> bool {
        let waited = |since: Option<Monotonic>, pause: Duration| {
            since.is_none_or(|since| now.since(since) >= pause)
        };
        if !waited(self.last_failed_at, FAILURE_PAUSE) {
            return false;
        }
        if is_reader {
            return waited(self.last_sent_at, READER_PERIOD);
        }
        waited(confirmed_at, FALLBACK_AGE) && waited(self.last_sent_at, FAILURE_PAUSE)
    }

    /// Notes a read that is sent.
    pub fn on_sent(&mut self, now: Monotonic) {
        self.last_sent_at = Some(now);
    }

    /// Notes a read that failed; returns whether the one before it had not.
    pub fn on_failed(&mut self, now: Monotonic) -> bool {
        self.last_failed_at = Some(now);
        !std::mem::replace(&mut self.has_failed, true)
    }

    /// Notes a read that was answered; returns whether the one before it had failed.
    pub fn on_answered(&mut self) -> bool {
        self.last_failed_at = None;
        std::mem::replace(&mut self.has_failed, false)
    }

    /// Returns whether the store answered the last read, or none was sent yet.
    pub const fn is_store_reachable(&self) -> bool {
        !self.has_failed
    }
}
