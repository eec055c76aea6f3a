//! The connections to endpoints and other VMs.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::connection_lease::ConnectionLease;
use super::UpstreamError;
use crate::clock::Monotonic;

/// The time after which bytes without an acknowledgement break a connection: a round trip takes
/// 110 ms at most, and a lost packet is sent again within 200 ms.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(1_500);

/// The silence after which the other end is probed, and the pause between probes.
const KEEP_ALIVE_PAUSE: Duration = Duration::from_secs(1);

/// The probes without an answer that break a connection.
const KEEP_ALIVE_PROBES: u32 = 2;

/// The idle connections kept to one address.
const IDLE_MAX_CONNECTIONS: usize = 64;

/// The connections to endpoints and other VMs, kept for reuse.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<ConnectionLease>>>,
    opened_count: Cell<u64>,
}

impl ConnectionPool {
    /// Returns the number of connections opened so far.
    pub fn opened_count(&self) -> u64 {
        self.opened_count.get()
    }

    /// Takes an idle connection that was used within `idle_max`, or opens one.
    pub(super) async fn connection(
        &self,
        now: Monotonic,
        address: SocketAddr,
        idle_max: Duration,
        connect_timeout: Duration,
    ) -> Result<ConnectionLease, UpstreamError> {
        if let Some(lease) = self.take_idle(now, address, idle_max) {
            return Ok(lease);
        }
        self.opened_count.set(self.opened_count.get() + 1);
        match timeout(connect_timeout, connect(address)).await {
            Ok(connected) => connected,
            Err(_) => Err(UpstreamError::ConnectTimeout(connect_timeout)),
        }
    }

    fn take_idle(
        &self,
        now: Monotonic,
        address: SocketAddr,
        idle_max: Duration,
    ) -> Option<ConnectionLease> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(|lease| lease.is_usable(now, Duration::MAX));
        let index = connections
            .iter()
            .rposition(|lease| lease.is_usable(now, idle_max))?;
        Some(connections.remove(index))
    }

    /// Keeps a connection whose answer was read to its end.
    pub(super) fn give_back(&self, now: Monotonic, mut lease: ConnectionLease) {
        lease.on_idle(now);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(lease.address).or_default();
        if connections.len() < IDLE_MAX_CONNECTIONS {
            connections.push(lease);
        }
    }

    /// Drops the idle connections to an address: one that broke tells of the others.
    pub(super) fn discard(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Drops the connections that have been idle for too long.
    pub fn discard_stale(&self, now: Monotonic) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|lease| lease.is_usable(now, Duration::MAX));
            !connections.is_empty()
        });
    }
}

async fn connect(address: SocketAddr) -> Result<ConnectionLease, UpstreamError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(UpstreamError::Connect)?;
    set_options(&stream).map_err(UpstreamError::Connect)?;
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(UpstreamError::Broken)?;
    let driver = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(error:% = error; "a connection ended");
        }
    });
    Ok(ConnectionLease::new(address, sender, driver.abort_handle()))
}

/// Lets a connection that went silent break.
fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))?;
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_PAUSE)
        .with_interval(KEEP_ALIVE_PAUSE)
        .with_retries(KEEP_ALIVE_PROBES);
    socket.set_tcp_keepalive(&keep_alive)
}
