//! What a connection is needed for.

use std::net::SocketAddr;
use std::time::Duration;

use crate::telemetry::ByteCounter;

/// What a connection is needed for.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionQuery<'a> {
    pub(super) address: SocketAddr,
    /// The longest idle time of a connection that is used again.
    pub(super) idle_max: Duration,
    pub(super) connect_timeout: Duration,
    /// The identifier that the answer repeats; `None` if it has none.
    pub(super) request_id: Option<&'a str>,
    /// Counts the bytes of a new connection.
    pub(super) bytes: &'a ByteCounter,
}
