//! Control messages between VMs.

use crate::configuration::ConfigurationMessage;
use crate::idempotency::IdempotencyMessage;
use crate::limits::LimitsMessage;
use crate::membership::MembershipMessage;

/// A one-way control message between VMs, which may be lost, duplicated or delayed.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Heartbeats.
    Membership(MembershipMessage),
    /// Change tickets and their digests.
    Configuration(ConfigurationMessage),
    /// Token grants.
    Limits(LimitsMessage),
    /// Records of non-idempotent calls.
    Idempotency(IdempotencyMessage),
}
