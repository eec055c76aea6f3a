//! Tests of the distributed token bucket: home leases, ledgers, token pools and whole fleets.

pub mod fleet;
mod home_lease;
mod home_ledger;
mod interval_bound;
mod service_inside_the_rate;
mod token_pool;
