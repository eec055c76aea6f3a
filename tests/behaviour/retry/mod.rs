//! Tests of the retry rules and of the retry budget over all VMs.

mod fleet_budget;
mod retry_rules;
