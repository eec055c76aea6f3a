//! Clocks and points in time.
//!
//! Decisions take the current time as an argument; only edges read it from a [`Clock`].

mod boot_time_clock;
mod manual_clock;
mod monotonic;
mod source;
mod system_clock;
mod wall_time;

pub use boot_time_clock::BootTimeClock;
pub use manual_clock::ManualClock;
pub use monotonic::Monotonic;
pub use source::Clock;
pub use system_clock::SystemClock;
pub use wall_time::WallTime;
