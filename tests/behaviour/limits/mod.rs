//! Tests of the `limits` behaviour.

pub mod fleet;
mod home_lease;
mod home_ledger;
mod interval_bound;
mod service_inside_the_rate;
mod token_pool;
