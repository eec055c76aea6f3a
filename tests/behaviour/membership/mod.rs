//! Tests of the `membership` behaviour.

mod entry_ranking;
mod gossip;
