//! Messages between VMs about token grants.

/// A message between VMs about token grants.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitsMessage {}
