//! The time of day.

use std::time::SystemTime;

/// Milliseconds since the Unix epoch, for logs and reports only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WallTime {
    /// Milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

impl WallTime {
    /// Reads the operating system's time of day; times before 1970 count as 1970.
    pub(super) fn of_system() -> Self {
        let elapsed = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            unix_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
