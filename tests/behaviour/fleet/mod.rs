//! How VMs find each other.

mod convergence;
mod directory;
mod rows;
pub(crate) mod support;
mod wire;
