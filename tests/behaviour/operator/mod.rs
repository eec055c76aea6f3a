//! Tests of the operators' page: statistics, explanations, merged reports and their HTTP interface.

mod explanations;
mod fixture;
mod golden_page;
mod merging;
mod serving;
mod statistics;
