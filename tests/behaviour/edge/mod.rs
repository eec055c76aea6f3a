//! Answers and streams as clients receive them.

mod event_splitting;
mod refusals;
