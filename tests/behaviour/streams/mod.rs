//! Which software version began a stream.

mod bandwidth;
mod herd_kills;
mod origins;
mod questions;
mod version_history;
