//! Answers and streams as clients receive them.

mod event_splitting;
mod failed_requests;
mod failure_statuses;
mod overlaps;
mod refusals;
mod request_progress;
mod unwritten_requests;
