//! The latest load report of an endpoint.

use std::time::Duration;

use crate::clock::Monotonic;

/// Reports older than this say nothing about the present load.
pub(super) const REPORT_STALE_AFTER: Duration = Duration::from_secs(5);

/// The latest load report of an endpoint, with what the VM itself had there when it was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// When the endpoint took the report, by the clock of this VM.
    pub taken_at: Monotonic,
    /// Requests that ran.
    pub running: u32,
    /// Requests that waited inside the endpoint.
    pub waiting: u32,
    /// The requests of this VM among them.
    pub own_requests: u32,
    /// The share of cache memory in use, in thousandths.
    pub cache_used_permille: u32,
}

impl ReportedLoad {
    /// Tells whether the report is too old to be used.
    pub fn is_stale(&self, now: Monotonic) -> bool {
        now.since(self.taken_at) > REPORT_STALE_AFTER
    }

    /// Returns the requests of other VMs that the report counts.
    pub fn others(&self) -> u32 {
        (self.running + self.waiting).saturating_sub(self.own_requests)
    }
}
