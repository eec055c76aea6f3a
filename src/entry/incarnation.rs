//! The number of a start.

use crate::clock::WallTime;

/// Returns the number of a start: later starts have higher ones, unless the time of day stepped.
///
/// Other VMs take a VM's own word for its incarnation, so a step does no harm.
pub(super) const fn incarnation(started_at: WallTime) -> u64 {
    started_at.unix_ms
}
