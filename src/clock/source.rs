//! The border towards the clocks of the machine.

use super::Monotonic;
use super::WallTime;

/// A source of the present time.
pub trait Clock: Send + Sync {
    /// Returns the time since the process started, by a clock that never steps back.
    fn now(&self) -> Monotonic;

    /// Returns the time of day, for logs and reports only.
    fn wall_time(&self) -> WallTime;
}
