//! What a connection is needed for.

use std::net::SocketAddr;
use std::time::Duration;

/// What a connection is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionQuery<'a> {
    pub(super) address: SocketAddr,
    /// The longest idle time of a connection that is used again.
    pub(super) idle_max: Duration,
    pub(super) connect_timeout: Duration,
    /// The identifier that the answer repeats; `None` if it has none.
    pub(super) request_id: Option<&'a str>,
}
