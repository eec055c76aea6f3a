//! When a VM reads the platform's store.

use std::time::Duration;

use crate::clock::Monotonic;

/// The time between two reads of the VM that reads for its region.
///
/// A change reaches the region within this period, a gossip round and a round trip: under a second.
const READER_PERIOD: Duration = Duration::from_millis(500);

/// The time without confirmation after which a VM that is not the region's reader reads the store.
///
/// Twice the age that is usual with gossip, and well under the age at which requests are refused.
const FALLBACK_AGE: Duration = Duration::from_millis(1_300);

/// The shortest time between two reads of a VM that needs a confirmation at once.
const REQUESTED_PERIOD: Duration = Duration::from_millis(100);

/// The backoff after a failed read.
const FAILURE_BACKOFF: Duration = Duration::from_millis(300);

/// When a VM reads the store: periodically as the reader of its region, otherwise only when peers
/// have not confirmed its configuration and listing for too long.
#[derive(Debug, Default)]
pub struct ReadPlan {
    last_sent_at: Option<Monotonic>,
    last_failed_at: Option<Monotonic>,
    has_failed: bool,
    is_requested: bool,
}

impl ReadPlan {
    /// Returns whether a read is due.
    pub fn is_due(&self, now: Monotonic, is_reader: bool, confirmed_at: Option<Monotonic>) -> bool {
        let has_elapsed = |since: Option<Monotonic>, period: Duration| {
            since.is_none_or(|since| now.since(since) >= period)
        };
        if !has_elapsed(self.last_failed_at, FAILURE_BACKOFF) {
            return false;
        }
        if self.is_requested && has_elapsed(self.last_sent_at, REQUESTED_PERIOD) {
            return true;
        }
        if is_reader {
            return has_elapsed(self.last_sent_at, READER_PERIOD);
        }
        has_elapsed(confirmed_at, FALLBACK_AGE) && has_elapsed(self.last_sent_at, FAILURE_BACKOFF)
    }

    /// Makes a read due as soon as the last one was sent long enough ago.
    pub fn request(&mut self) {
        self.is_requested = true;
    }

    /// Records that a read was sent.
    pub fn on_sent(&mut self, now: Monotonic) {
        self.is_requested = false;
        self.last_sent_at = Some(now);
    }

    /// Records a failed read; returns whether it is the first failure since a success.
    pub fn on_failed(&mut self, now: Monotonic) -> bool {
        self.last_failed_at = Some(now);
        !std::mem::replace(&mut self.has_failed, true)
    }

    /// Records a successful read; returns whether the one before it had failed.
    pub fn on_answered(&mut self) -> bool {
        self.last_failed_at = None;
        std::mem::replace(&mut self.has_failed, false)
    }

    /// Returns whether the last completed read succeeded; `true` before the first one.
    pub const fn is_store_reachable(&self) -> bool {
        !self.has_failed
    }
}
