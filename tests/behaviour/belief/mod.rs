//! Tests of a VM's copy of the configuration and the endpoint listing.

mod lapsed_records;
mod peers;
mod read_plan;
mod restored_store;
pub(crate) mod support;
mod versions;
