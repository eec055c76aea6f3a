//! What a client may send, and how long it may take.

use std::time::Duration;

/// The limits on a client's requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// The longest head of a request.
    pub header_max_bytes: usize,
    /// The longest body of a request.
    pub body_max_bytes: usize,
    /// The longest time for the head of a request.
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
