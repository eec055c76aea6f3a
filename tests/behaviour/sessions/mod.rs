//! Snapshots of callers' HTTP sessions.

mod bad_input;
mod bookings;
mod completions;
mod information;
mod transcript;
