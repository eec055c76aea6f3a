//! The tests of the crate; one folder a domain, one file a behaviour.

mod caller;
mod configuration;
mod endpoint;
mod idempotency;
mod limits;
mod membership;
mod operator;
mod peer;
mod publication;
mod queueing;
mod retry;
mod routing;
mod sessions;
mod settings;
mod vm;
