//! Identifiers of submissions at their coordinators.

use crate::catalog::VmKey;

/// One submission at one coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The VM that coordinates it.
    pub coordinator: VmKey,
    /// The random number that identifies the coordinator's process.
    pub boot: u64,
    /// The number of the attempt in that process.
    pub sequence: u64,
}

impl AttemptId {
    /// Returns whether this attempt wins over a concurrent `other` for the same key while neither
    /// has proceeded; the result is the same on every VM.
    pub(super) fn precedes(&self, other: &Self) -> bool {
        (self.boot, self.sequence) < (other.boot, other.sequence)
    }
}
