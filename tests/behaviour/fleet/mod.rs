//! Tests of discovery and gossip between VMs.

mod convergence;
mod directory;
mod rows;
pub(crate) mod support;
mod wire;
