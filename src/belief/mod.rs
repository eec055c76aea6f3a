//! A VM's possibly stale copy of the configuration and the endpoint listing, and its age.

#[allow(clippy::module_inception)]
mod belief;
mod belief_digest;
mod configuration;
mod lapsed_records;
mod peer_updates;
mod read_plan;
mod restored_store;

pub use belief::Belief;
pub use belief_digest::BeliefDigest;
pub use configuration::Configuration;
pub use peer_updates::PeerUpdates;
pub use read_plan::ReadPlan;
