//! Counts the calls that the platform stand-in receives.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

const WINDOW: Duration = Duration::from_secs(1);

/// The calls that the platform stand-in received; a long poll for tickets counts as one call.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// The calls since the start.
    pub total_calls: u64,
    /// The long polls that wait for a ticket now.
    pub waiting_calls: u64,
    /// The calls in the last complete second.
    pub last_second_calls: u64,
    /// The largest number of calls in one second.
    pub peak_second_calls: u64,
}

/// Counts calls over windows of one second.
#[derive(Debug)]
pub(super) struct CallCounter {
    counts: CallCounts,
    window_start: Instant,
    window_calls: u64,
}

impl CallCounter {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            counts: CallCounts::default(),
            window_start: now,
            window_calls: 0,
        }
    }

    pub(super) fn count(&mut self, now: Instant) {
        self.roll(now);
        self.window_calls += 1;
        self.counts.total_calls += 1;
        self.counts.peak_second_calls = self.counts.peak_second_calls.max(self.window_calls);
    }

    pub(super) fn wait_started(&mut self) {
        self.counts.waiting_calls += 1;
    }

    pub(super) fn wait_ended(&mut self) {
        self.counts.waiting_calls = self.counts.waiting_calls.saturating_sub(1);
    }

    pub(super) fn counts(&mut self, now: Instant) -> CallCounts {
        self.roll(now);
        self.counts
    }

    fn roll(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.window_start);
        if elapsed < WINDOW {
            return;
        }
        let is_previous = elapsed < WINDOW * 2;
        self.counts.last_second_calls = if is_previous { self.window_calls } else { 0 };
        self.window_calls = 0;
        self.window_start = now;
    }
}
