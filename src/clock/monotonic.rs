//! A point on the monotonic clock of one process.

use std::ops::Add;
use std::time::Duration;

/// A point in time since the process started.
///
/// Values of different processes are not comparable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Monotonic {
    us: u64,
}

impl Monotonic {
    /// The start of the process.
    pub const ZERO: Self = Self { us: 0 };

    /// Returns the point `us` microseconds after the start of the process.
    pub const fn from_us(us: u64) -> Self {
        Self { us }
    }

    /// Returns the point `ms` milliseconds after the start of the process.
    pub const fn from_ms(ms: u64) -> Self {
        Self {
            us: ms.saturating_mul(1_000),
        }
    }

    /// Returns the microseconds since the start of the process.
    pub const fn as_us(self) -> u64 {
        self.us
    }

    /// Returns the whole milliseconds since the start of the process.
    pub const fn as_ms(self) -> u64 {
        self.us / 1_000
    }

    /// Returns the time that passed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.us.saturating_sub(earlier.us))
    }

    /// Returns the point that was `age` before, but not before the start of the process.
    pub fn before(self, age: Duration) -> Self {
        let age_us = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        Self {
            us: self.us.saturating_sub(age_us),
        }
    }
}

impl Add<Duration> for Monotonic {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let rhs_us = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self {
            us: self.us.saturating_add(rhs_us),
        }
    }
}
