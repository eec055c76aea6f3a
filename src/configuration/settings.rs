//! Intervals and bounds of the propagation of change tickets.

use std::time::Duration;

/// Intervals and bounds of the propagation of change tickets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationSettings {
    /// The time between two summaries to peers.
    pub gossip_interval: Duration,
    /// The number of peers in the local region that receive each summary or push.
    pub gossip_fanout: usize,
    /// The maximum time that a booting VM waits for its peers.
    pub boot_wait: Duration,
    /// The maximum time that a watch of the service waits for a ticket.
    pub watch_wait: Duration,
    /// The time without a message from any peer after which a VM polls the service itself.
    pub gossip_timeout: Duration,
    /// The minimum time between two polls of a VM that receives no gossip; the maximum is twice it.
    pub poll_interval: Duration,
    /// The gap between two ticks after which the process counts as paused.
    pub pause_limit: Duration,
}

impl Default for ConfigurationSettings {
    fn default() -> Self {
        Self {
            gossip_interval: Duration::from_secs(1),
            gossip_fanout: 2,
            boot_wait: Duration::from_secs(3),
            watch_wait: Duration::from_secs(20),
            gossip_timeout: Duration::from_secs(5),
            poll_interval: Duration::from_secs(10),
            pause_limit: Duration::from_secs(2),
        }
    }
}
