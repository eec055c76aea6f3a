//! Identifiers of submissions that try to run.

use crate::catalog::VmKey;

/// One submission at one coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The VM that coordinates it.
    pub coordinator: VmKey,
    /// The number that the coordinator's process drew when it started.
    pub boot: u64,
    /// The number of the attempt in that process.
    pub sequence: u64,
}

impl AttemptId {
    /// Tells whether this attempt goes on when it meets `other` before either has proceeded; all
    /// VMs tell the same.
    pub(super) fn precedes(&self, other: &Self) -> bool {
        (self.boot, self.sequence) < (other.boot, other.sequence)
    }
}
