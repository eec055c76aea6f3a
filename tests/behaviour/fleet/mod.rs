//! Tests of discovery and gossip between VMs.

mod cold_senders;
mod configuration_fetch;
mod convergence;
mod directory;
mod entry_choice;
mod forward_targets;
mod peer_clocks;
mod rows;
mod simultaneous_start;
mod stream_replicas;
pub(crate) mod support;
mod unknown_vms;
mod wire;
mod zone_gossip;
