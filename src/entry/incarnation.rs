//! The incarnation number of the daemon.

use crate::clock::WallTime;

/// Returns the incarnation number of a start: it increases from start to start unless the wall
/// clock stepped back.
///
/// Other VMs accept any incarnation that a VM itself reports, so a step back does no harm.
pub(super) const fn incarnation(started_at: WallTime) -> u64 {
    started_at.unix_ms
}
