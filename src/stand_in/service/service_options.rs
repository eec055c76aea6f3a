//! Options of the stand-in service.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

/// Options of the stand-in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceOptions {
    /// The address to listen on; port 0 chooses a free port.
    pub bind_address: SocketAddr,
    /// The time that a call runs.
    pub call_time: Duration,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            bind_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            call_time: Duration::from_millis(5),
        }
    }
}
