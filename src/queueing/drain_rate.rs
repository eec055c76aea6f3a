//! The rate at which a queue drains.

use std::time::Duration;

use crate::clock::Monotonic;

/// The length of one sample of the rate.
const WINDOW: Duration = Duration::from_millis(500);
/// The time without a new sample after which the starts since the last one limit the rate.
const STALL_AFTER: Duration = Duration::from_secs(2);

/// The tokens per second that leave a queue while requests wait in it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DrainRate {
    tokens_per_s: Option<u64>,
    window_start: Option<Monotonic>,
    window_tokens: u64,
}

impl DrainRate {
    /// Records that a request waits.
    pub(super) fn on_busy(&mut self, now: Monotonic) {
        if self.window_start.is_none() {
            self.window_start = Some(now);
            self.window_tokens = 0;
        }
    }

    /// Records that no request waits any more.
    pub(super) fn on_idle(&mut self) {
        self.window_start = None;
    }

    /// Records that a request left the queue to start.
    pub(super) fn on_started(&mut self, now: Monotonic, cost_tokens: u64) {
        let Some(start) = self.window_start else {
            return;
        };
        self.window_tokens += cost_tokens;
        let elapsed = now.since(start);
        if elapsed < WINDOW {
            return;
        }
        let sample = rate(self.window_tokens, elapsed);
        self.tokens_per_s = Some(match self.tokens_per_s {
            Some(mean) => (3 * mean + sample) / 4,
            None => sample,
        });
        self.window_start = Some(now);
        self.window_tokens = 0;
    }

    /// Returns the rate, or `None` before the first sample.
    pub(super) fn tokens_per_s(&self, now: Monotonic) -> Option<u64> {
        let mean = self.tokens_per_s?;
        let Some(start) = self.window_start else {
            return Some(mean.max(1));
        };
        let elapsed = now.since(start);
        if elapsed < STALL_AFTER {
            return Some(mean.max(1));
        }
        Some(mean.min(rate(self.window_tokens, elapsed)).max(1))
    }
}

fn rate(tokens: u64, elapsed: Duration) -> u64 {
    let elapsed_us = (elapsed.as_micros() as u64).max(1);
    tokens.saturating_mul(1_000_000) / elapsed_us
}
