//! Tests of discovery and gossip between VMs.

mod configuration_fetch;
mod convergence;
mod directory;
mod rows;
mod simultaneous_start;
pub(crate) mod support;
mod wire;
