//! The view of the VMs that are alive, by gossiped heartbeats.

mod message;

mod incarnation;
mod membership_view;
mod rendezvous;

pub use incarnation::Incarnation;
pub use membership_view::Liveness;
pub use membership_view::MembershipView;
pub use membership_view::RegionContact;
pub use membership_view::VmView;
pub use rendezvous::rank_vms;
pub use rendezvous::rendezvous_score;

pub use message::MembershipMessage;
