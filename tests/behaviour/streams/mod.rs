//! Which software version began a stream.

mod bandwidth;
mod origins;
mod version_history;
