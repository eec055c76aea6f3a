//! Intervals and bounds of the propagation of change tickets.

use std::time::Duration;

/// Intervals and bounds of the propagation of change tickets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationSettings {
    /// The time between two summaries to peers.
    pub gossip_interval: Duration,
    /// The number of peers of the region that each summary goes to.
    pub gossip_fanout: usize,
    /// The longest time that a booting VM waits for its peers.
    pub boot_wait: Duration,
    /// The longest time that a watch of the service waits for a ticket.
    pub watch_wait: Duration,
    /// The silence of all peers after which a VM reads the service by itself.
    pub gossip_timeout: Duration,
    /// The shortest time between two reads of a VM that hears no peers; the longest is twice it.
    pub poll_interval: Duration,
    /// The time between two ticks that means that the process was paused.
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
