//! Tests of the `operator` behaviour.

mod explanations;
mod fixture;
mod golden_page;
mod merging;
mod serving;
mod statistics;
