//! Tests of the `retry` behaviour.

mod fleet_budget;
mod retry_rules;
