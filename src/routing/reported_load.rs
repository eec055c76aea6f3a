//! The latest load report of an endpoint.

use std::time::Duration;

use crate::clock::Monotonic;

/// Older reports are ignored, as they no longer reflect the current load.
pub(super) const REPORT_STALE_AFTER: Duration = Duration::from_secs(5);

/// The latest load report of an endpoint, with this VM's in-flight requests when it was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// When the endpoint took the report, on this VM's clock.
    pub taken_at: Monotonic,
    /// The number of running requests.
    pub running: u32,
    /// The number of requests queued inside the endpoint.
    pub waiting: u32,
    /// The number of this VM's requests among the running and waiting ones.
    pub local_requests: u32,
    /// The share of cache memory in use, in thousandths.
    pub cache_used_permille: u32,
}

impl ReportedLoad {
    /// Returns whether the report is too old to be used.
    pub fn is_stale(&self, now: Monotonic) -> bool {
        now.since(self.taken_at) > REPORT_STALE_AFTER
    }

    /// Returns the number of requests of other VMs in the report.
    pub fn others(&self) -> u32 {
        (self.running + self.waiting).saturating_sub(self.local_requests)
    }
}
