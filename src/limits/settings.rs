//! Settings of rate and burst.

use std::time::Duration;

/// Settings of rate and burst; equal on all VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitsSettings {
    /// The time for which a majority of a region leaves a shard to one VM.
    pub lease: Duration,
    /// The time between two renewals of a lease.
    pub lease_renewal: Duration,
    /// The time that is taken off a lease for clocks that differ in speed.
    pub clock_slack: Duration,
    /// The longest life of a grant.
    pub grant_lifetime: Duration,
    /// The time between two draws ahead of need of one account.
    pub draw_period: Duration,
    /// The time after which an unanswered draw is given up.
    pub draw_timeout: Duration,
    /// The time after which tokens that nothing asked for go back.
    pub idle_return: Duration,
    /// The time after the grant for which unused tokens of a request may come back.
    pub refund_window: Duration,
    /// The time without lease requests after a change of the roster.
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
