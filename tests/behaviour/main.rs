//! The behaviour tests of the crate, with a folder for each domain and a file for each behaviour.

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
mod quarantine;
mod queueing;
mod quota;
mod retry;
mod routing;
mod sessions;
mod settings;
mod soak;
mod streams;
mod vm;
