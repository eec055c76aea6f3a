//! A multi-region inference gateway.
//!
//! The crate holds the daemons (`figramp serve` and `figramp entry`) and their tools. Decisions
//! (configuration merge, membership, limits, routing, queueing, retries, idempotency) are pure:
//! they take the current time and a seeded random source as arguments and return actions.
//! Controllers publish their results on the [`vm::Blackboard`], and the edges translate wire types
//! into domain types and back.

pub mod audit;
pub mod belief;
pub mod caller;
pub mod catalog;
pub mod cli;
pub mod clock;
pub mod configuration;
pub mod demo;
pub mod deployment;
pub mod edge;
pub mod endpoint;
pub mod entry;
pub mod errors;
pub mod fleet;
pub mod idempotency;
pub mod limits;
pub mod membership;
pub mod operator;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod publication;
pub mod quarantine;
pub mod queueing;
pub mod quota;
pub mod request;
pub mod retry;
pub mod routing;
pub mod settings;
pub mod stand_in;
pub mod streams;
pub mod telemetry;
pub mod vm;
