//! Tests of the `routing` behaviour.

mod affinity;
mod failing_endpoints;
mod hard_filters;
mod load_reports;
pub mod published;
pub mod seed;
