//! A simulation of a few VMs and engines in virtual time, to measure routing and queueing policies.

pub mod demand;
pub mod engine;
pub mod region_site;
pub mod results;
pub mod run;
pub mod vm_node;
