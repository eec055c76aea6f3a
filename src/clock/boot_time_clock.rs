//! A monotonic clock that keeps running while the machine is suspended.

use std::time::Duration;

use rustix::time::clock_gettime;
use rustix::time::ClockId;

use super::Clock;
use super::Monotonic;
use super::WallTime;

/// Reads `CLOCK_BOOTTIME`, so that ages also grow while the machine is suspended.
#[derive(Debug)]
pub struct BootTimeClock {
    start: Duration,
}

impl BootTimeClock {
    /// Creates a clock whose time starts now.
    pub fn new() -> Self {
        Self {
            start: since_boot(),
        }
    }
}

impl Default for BootTimeClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootTimeClock {
    fn now(&self) -> Monotonic {
        Monotonic::ZERO + since_boot().saturating_sub(self.start)
    }

    fn wall_time(&self) -> WallTime {
        WallTime::of_system()
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}
