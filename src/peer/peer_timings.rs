//! Time limits of the peer transport.

use std::time::Duration;

/// Time limits of the peer transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerTimings {
    /// The longest time to connect, and for the handshake.
    pub connect_timeout: Duration,
    /// The wait before the first reconnect; it doubles with each failure.
    pub backoff_min: Duration,
    /// The longest wait before a reconnect.
    pub backoff_max: Duration,
    /// The time between two pings on a connection for forwarded calls.
    pub ping_interval: Duration,
    /// The longest time to the answer of a ping or the acknowledgement of a control message.
    pub ping_timeout: Duration,
    /// The time without bytes after which an acceptor closes a connection for forwarded calls;
    /// other connections may be silent for the idle time more.
    pub accepted_silence_timeout: Duration,
    /// The time without use after which a dialer closes a connection.
    pub idle_timeout: Duration,
    /// The time without an event after which a server of a forwarded call shows that it is alive.
    pub forward_alive_interval: Duration,
    /// The time without any sign of life after which a forwarded call is given up.
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
