//! Messages between VMs about heartbeats.

/// A message between VMs about heartbeats.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipMessage {}
