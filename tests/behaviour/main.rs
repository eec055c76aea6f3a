//! The tests of the crate; one folder a domain, one file a behaviour.

mod belief;
mod caller;
mod configuration;
mod edge;
mod endpoint;
mod entry;
mod fleet;
mod idempotency;
mod limits;
mod membership;
mod operator;
mod peer;
mod placement;
mod publication;
mod queueing;
mod quota;
mod retry;
mod routing;
mod sessions;
mod settings;
mod soak;
mod vm;
