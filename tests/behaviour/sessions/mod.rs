//! Golden files of whole sessions of callers.

mod bad_input;
mod bookings;
mod completions;
mod information;
mod transcript;
