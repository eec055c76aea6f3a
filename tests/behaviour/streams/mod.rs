//! Which software version began a stream.

mod bandwidth;
mod herd_kills;
mod origins;
mod version_history;
