//! Timeouts and intervals of the peer transport.

use std::time::Duration;

/// Timeouts and intervals of the peer transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerTimings {
    /// The timeout for connecting, handshake included; an acceptor's timeout for the handshake.
    pub connect_timeout: Duration,
    /// The wait before the first reconnect; it doubles with each failure.
    pub backoff_min: Duration,
    /// The longest wait before a reconnect.
    pub backoff_max: Duration,
    /// The time between two pings on a connection for forwarded calls.
    pub ping_interval: Duration,
    /// The timeout for the answer to a ping, and for writing or acknowledging a control frame.
    pub ping_timeout: Duration,
    /// The time without received bytes after which an acceptor closes a connection for forwarded
    /// calls; `idle_timeout` is added for control connections.
    pub accepted_silence_timeout: Duration,
    /// The time without new messages or calls after which a dialer closes a connection.
    pub idle_timeout: Duration,
    /// The time without an event after which the server of a forwarded call sends
    /// [`Waiting`](super::wire::AnswerItem::Waiting).
    pub forward_alive_interval: Duration,
    /// The time without any item of the answer after which a forwarded call fails.
    pub forward_silence_timeout: Duration,
}

impl Default for PeerTimings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            backoff_min: Duration::from_millis(50),
            backoff_max: Duration::from_secs(2),
            ping_interval: Duration::from_secs(2),
            ping_timeout: Duration::from_secs(2),
            accepted_silence_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(20),
            forward_alive_interval: Duration::from_secs(1),
            forward_silence_timeout: Duration::from_secs(4),
        }
    }
}
