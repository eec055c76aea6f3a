//! Messages between VMs about records of non-idempotent calls.

/// A message between VMs about records of non-idempotent calls.
#[derive(Clone, Debug, PartialEq)]
pub enum IdempotencyMessage {}
