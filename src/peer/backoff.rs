//! Exponential backoff between connection attempts.

use std::time::Duration;

use tokio::time::Instant;

/// Exponential backoff between connection attempts; the wait doubles up to `max`.
#[derive(Debug)]
pub(super) struct Backoff {
    min: Duration,
    max: Duration,
    next: Duration,
    retry_at: Option<Instant>,
}

impl Backoff {
    pub(super) fn new(min: Duration, max: Duration) -> Self {
        Self {
            min,
            max,
            next: min,
            retry_at: None,
        }
    }

    /// Returns whether it is too early for the next attempt.
    pub(super) fn is_waiting(&self, now: Instant) -> bool {
        self.retry_at.is_some_and(|retry_at| now < retry_at)
    }

    /// Records a failed attempt.
    pub(super) fn fail(&mut self, now: Instant) {
        self.retry_at = Some(now + self.next);
        self.next = self.next.saturating_mul(2).min(self.max);
    }

    /// Records a successful attempt.
    pub(super) fn reset(&mut self) {
        self.next = self.min;
        self.retry_at = None;
    }
}
