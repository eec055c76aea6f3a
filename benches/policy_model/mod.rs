//! A few VMs and engines in virtual time, for measurements of decisions.

pub mod demand;
pub mod engine;
pub mod region_site;
pub mod results;
pub mod run;
pub mod vm_node;
