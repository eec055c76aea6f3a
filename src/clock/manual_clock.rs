//! A clock that is advanced explicitly.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Clock;
use super::Monotonic;
use super::WallTime;

/// A clock for tests and virtual time; only [`ManualClock::advance`] moves it.
#[derive(Debug, Default)]
pub struct ManualClock {
    now_us: AtomicU64,
}

impl ManualClock {
    /// Moves the clock forward by `step`.
    pub fn advance(&self, step: Duration) {
        let step_us = u64::try_from(step.as_micros()).unwrap_or(u64::MAX);
        self.now_us.fetch_add(step_us, Ordering::Relaxed);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Monotonic {
        Monotonic::from_us(self.now_us.load(Ordering::Relaxed))
    }

    fn wall_time(&self) -> WallTime {
        WallTime {
            unix_ms: self.now().as_ms(),
        }
    }
}
