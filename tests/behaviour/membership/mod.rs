//! Tests of membership gossip and of the ranking of VMs for callers.

mod entry_ranking;
mod gossip;
