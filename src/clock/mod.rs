//! Time as a value: decisions take it as an argument, edges read it from a [`Clock`].

mod manual_clock;
mod monotonic;
mod source;
mod suspend_clock;
mod system_clock;
mod wall_time;

pub use manual_clock::ManualClock;
pub use monotonic::Monotonic;
pub use source::Clock;
pub use suspend_clock::SuspendClock;
pub use system_clock::SystemClock;
pub use wall_time::WallTime;
