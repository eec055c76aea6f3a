//! The trait through which code reads the time.

use super::Monotonic;
use super::WallTime;

/// A source of the current time.
pub trait Clock: Send + Sync {
    /// Returns the current point on a clock that never steps back.
    fn now(&self) -> Monotonic;

    /// Returns the time of day, for logs and reports only.
    fn wall_time(&self) -> WallTime;
}
