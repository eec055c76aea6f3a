//! Timings of the distributed token bucket.

use std::time::Duration;

/// Timings of the distributed token bucket; equal on all VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitsSettings {
    /// The time for which a majority of a region's VMs leases a shard to one VM.
    pub lease: Duration,
    /// The time between two renewals of a lease.
    pub lease_renewal: Duration,
    /// The allowance for clock drift: a holder's lease ends at least this much before its votes.
    pub clock_slack: Duration,
    /// The longest lifetime of a grant.
    pub grant_lifetime: Duration,
    /// The period of reports to homes; also the time that draws ahead of need cover while tokens
    /// are scarce.
    pub draw_period: Duration,
    /// The time after which an unanswered draw is abandoned.
    pub draw_timeout: Duration,
    /// The age from which surplus grants go back to their home while tokens are scarce.
    pub idle_return: Duration,
    /// The time after a grant for which its home accepts refunds of unused tokens.
    pub refund_window: Duration,
    /// The time after a change of the roster in which a VM requests no new leases.
    pub roster_settle: Duration,
}

impl Default for LimitsSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(12),
            lease_renewal: Duration::from_secs(4),
            clock_slack: Duration::from_millis(200),
            grant_lifetime: Duration::from_secs(6),
            draw_period: Duration::from_secs(2),
            draw_timeout: Duration::from_millis(400),
            idle_return: Duration::from_secs(1),
            refund_window: Duration::from_secs(120),
            roster_settle: Duration::from_secs(10),
        }
    }
}
