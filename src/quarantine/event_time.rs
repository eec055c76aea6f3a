//! A time that may lie before the start of the process.

use std::time::Duration;

use crate::clock::Monotonic;

/// A time by the local clock that may lie before the start of the process, in milliseconds.
///
/// A VM hears of crashes that happened before it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EventTime {
    ms: i64,
}

impl EventTime {
    /// Returns the time that was `age` before `now`.
    pub fn before(now: Monotonic, age: Duration) -> Self {
        let age_ms = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        Self {
            ms: Self::from(now).ms.saturating_sub(age_ms),
        }
    }

    /// Returns the time that passed until `now`, or zero if this time is later.
    pub fn age(self, now: Monotonic) -> Duration {
        let age_ms = Self::from(now).ms.saturating_sub(self.ms);
        Duration::from_millis(u64::try_from(age_ms).unwrap_or(0))
    }

    /// Returns whether this time is more than `lead` after `other`.
    pub fn is_later_by(self, lead: Duration, other: Self) -> bool {
        let lead_ms = i64::try_from(lead.as_millis()).unwrap_or(i64::MAX);
        self.ms > other.ms.saturating_add(lead_ms)
    }
}

impl From<Monotonic> for EventTime {
    fn from(at: Monotonic) -> Self {
        Self {
            ms: i64::try_from(at.as_ms()).unwrap_or(i64::MAX),
        }
    }
}
