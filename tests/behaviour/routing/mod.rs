//! Tests of the choice of region, VM and endpoint for a request.

mod affinity;
mod failing_endpoints;
mod hard_filters;
mod load_reports;
pub mod published;
pub mod seed;
mod silent_endpoints;
