//! Rate limits of client accounts over all VMs.

mod fleet_bound;
mod many_accounts;
mod peer_usage;
