//! What a VM believes of the deployment.

mod lapsed_records;
mod peers;
mod read_plan;
pub(crate) mod support;
mod versions;
