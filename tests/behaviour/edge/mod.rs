//! What clients get, and what endpoints are sent.

mod event_splitting;
mod refusals;
