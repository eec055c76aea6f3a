//! Tests of the `configuration` behaviour.

mod boot;
mod fleet;
mod merge;
mod propagation;
mod tickets;
mod traffic;
mod wire;
