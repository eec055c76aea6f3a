//! Discovery of VMs by seed addresses and gossip, without a central list.

mod configuration_fetch;
mod fleet_message;
mod fleet_view;
mod gossip;
mod message_crashes;
mod message_rates;
mod message_versions;
mod message_versions_wire;
mod region_discovery;
mod vm_phase;
mod vm_row;
mod wire;
mod wire_error;

pub use configuration_fetch::ConfigurationFetch;
pub use configuration_fetch::PeerDistance;
pub use fleet_message::FleetMessage;
pub use fleet_message::MessageDigest;
pub use fleet_view::FleetView;
pub use gossip::GossipPlan;
pub use message_crashes::MessageAnsweredPart;
pub use message_crashes::MessageCrash;
pub use message_crashes::MessageCrashes;
pub use message_rates::EndpointRate;
pub use message_rates::MessageRate;
pub use message_versions::MessageSighting;
pub use message_versions::MessageVersions;
pub use vm_phase::VmPhase;
pub use vm_row::AccountUsage;
pub use vm_row::EndpointBacklog;
pub use vm_row::NameHash;
pub use vm_row::ServiceWait;
pub use vm_row::VmRow;
pub use wire::decode_message;
pub use wire::encode_message;
pub use wire_error::FleetWireError;
