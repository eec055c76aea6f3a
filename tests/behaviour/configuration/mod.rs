//! Tests of change tickets: validation, merge, boot, propagation and control traffic.

mod boot;
mod fleet;
mod merge;
mod propagation;
mod tickets;
mod traffic;
mod wire;
