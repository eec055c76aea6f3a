//! Which VMs are alive, by gossiped heartbeats.

mod action;
mod entry_ranking;
mod heartbeat_table;
mod incarnation;
mod listed_vms;
#[allow(clippy::module_inception)]
mod membership;
mod membership_view;
mod message;
mod remote_regions;
mod rendezvous;
mod roster;
mod settings;
mod vm_summary;
mod wire;

pub use action::MembershipAction;
pub use entry_ranking::EntryRanking;
pub use incarnation::Incarnation;
pub use membership::Membership;
pub use membership_view::Liveness;
pub use membership_view::MembershipView;
pub use membership_view::RegionContact;
pub use membership_view::VmView;
pub use message::Heartbeat;
pub use message::MembershipMessage;
pub use message::RegionSummary;
pub use message::VmStatus;
pub use rendezvous::rank_vms;
pub use rendezvous::rendezvous_score;
pub use roster::name_hash;
pub use roster::Roster;
pub use settings::MembershipSettings;
pub use vm_summary::VmSummary;
pub use wire::vm_hash;
pub use wire::vms_by_hash;
