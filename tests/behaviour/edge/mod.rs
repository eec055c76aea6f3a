//! Answers and streams as clients receive them.

mod event_splitting;
mod failure_statuses;
mod overlaps;
mod refusals;
