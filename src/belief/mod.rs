//! What a VM believes of the deployment, and how old that is.

#[allow(clippy::module_inception)]
mod belief;
mod belief_digest;
mod configuration;
mod departed;
mod peer_news;
mod read_plan;

pub use belief::Belief;
pub use belief_digest::BeliefDigest;
pub use configuration::Configuration;
pub use peer_news::PeerNews;
pub use read_plan::ReadPlan;
