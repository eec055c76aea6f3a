//! The clock of the operating system.

use std::time::Instant;

use super::Clock;
use super::Monotonic;
use super::WallTime;

/// Reads the monotonic clock and the time of day of the operating system.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Monotonic {
        Monotonic::ZERO + self.start.elapsed()
    }

    fn wall_time(&self) -> WallTime {
        WallTime::of_system()
    }
}
