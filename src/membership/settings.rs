//! Settings of the membership gossip.

use std::time::Duration;

/// Settings of the membership gossip; equal on all VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// The time between two rounds of gossip inside a region.
    pub gossip_period: Duration,
    /// The number of VMs that a round is sent to.
    pub fan_out: usize,
    /// The largest number of heartbeats of other VMs in one message.
    pub heartbeats_per_message: usize,
    /// The time between two summaries that a reporter sends to another region.
    pub summary_period: Duration,
    /// The number of VMs of a region that send summaries to other regions.
    pub reporters_per_region: usize,
    /// The largest number of summaries of other regions in one message.
    pub summaries_per_message: usize,
    /// The time without a new heartbeat after which a VM is suspected.
    pub suspect_after: Duration,
    /// The time without a new heartbeat after which a VM counts as dead.
    pub dead_after: Duration,
    /// The age from which a summary is not forwarded and the VMs of its region count as dead.
    pub summary_lifetime: Duration,
    /// The gap between two ticks after which the process counts as paused.
    pub pause_limit: Duration,
    /// The time to live of the list of entry VMs.
    pub entry_list_lifetime: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            gossip_period: Duration::from_secs(1),
            fan_out: 2,
            heartbeats_per_message: 12,
            summary_period: Duration::from_secs(1),
            reporters_per_region: 2,
            summaries_per_message: 4,
            suspect_after: Duration::from_secs(8),
            dead_after: Duration::from_secs(20),
            summary_lifetime: Duration::from_secs(60),
            pause_limit: Duration::from_secs(5),
            entry_list_lifetime: Duration::from_secs(10),
        }
    }
}
