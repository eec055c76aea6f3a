//! The rates of client accounts over all VMs.

mod fleet_bound;
mod peer_usage;
