//! Limits on the requests and connections of clients.

use std::time::Duration;

/// The limits on a client's requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// The longest request head.
    pub header_max_bytes: usize,
    /// The longest request body.
    pub body_max_bytes: usize,
    /// The longest time until the head of a request has arrived.
    pub header_timeout: Duration,
    /// The longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            header_max_bytes: 16 * 1024,
            body_max_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
