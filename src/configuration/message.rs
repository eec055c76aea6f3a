//! Messages between VMs about change tickets.

/// A message between VMs about change tickets.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationMessage {}
