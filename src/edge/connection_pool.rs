//! The pool of connections to endpoints and other VMs.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio::time::Instant;

use super::connection_end::ConnectionUse;
use super::connection_end::LostConnection;
use super::connection_end::OpenConnections;
use super::connection_query::ConnectionQuery;
use super::head_limit::HeadLimit;
use super::head_limit::HeadLimitedStream;
use super::head_limit::HEAD_MAX_BYTES;
use super::pooled_connection::PooledConnection;
use super::pooled_connection::IDLE_DEFAULT;
use super::send_gate::SendGate;
use super::upstream_error::is_cut;
use super::UpstreamError;
use crate::clock::Monotonic;
use crate::telemetry::ByteCounter;
use crate::telemetry::CountedStream;

/// The idle time before the first TCP keep-alive probe, and the interval between probes.
const KEEP_ALIVE_PAUSE: Duration = Duration::from_secs(1);

/// The number of unanswered keep-alive probes after which a connection fails.
const KEEP_ALIVE_PROBES: u32 = 2;

/// The maximum number of idle connections to one address.
const IDLE_MAX_CONNECTIONS: usize = 64;

/// The part of an observed idle timeout for which connections are kept.
const OBSERVED_FRACTION: f64 = 0.7;

/// The connections to endpoints and other VMs, kept for reuse.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<PooledConnection>>>,
    /// Connections that no request takes: they show when their peer closes all of them.
    held: RefCell<HashMap<SocketAddr, Vec<PooledConnection>>>,
    open: Rc<OpenConnections>,
    /// For how long connections to an address may be idle, by its last answer.
    idle_limits: RefCell<HashMap<SocketAddr, Duration>>,
    opened_count: Cell<u64>,
    replaced_count: Cell<u64>,
}

impl ConnectionPool {
    /// Returns the number of connections opened so far.
    pub fn opened_count(&self) -> u64 {
        self.opened_count.get()
    }

    /// Returns the number of idle connections closed for new ones, as a request had failed on them before.
    pub fn replaced_count(&self) -> u64 {
        self.replaced_count.get()
    }

    /// Takes an idle connection that was used within the time and on which the request has not failed, or
    /// opens one, in place of one on which it has.
    pub(super) async fn acquire(
        &self,
        now: Monotonic,
        query: ConnectionQuery<'_>,
    ) -> Result<PooledConnection, UpstreamError> {
        if let Some(connection) = self.take_idle(now, query) {
            return Ok(connection);
        }
        self.opened_count.set(self.opened_count.get() + 1);
        let connecting = self.connect(now, query.address, query.bytes);
        match timeout(query.connect_timeout, connecting).await {
            Ok(connected) => connected,
            Err(_) => Err(UpstreamError::ConnectTimeout(query.connect_timeout)),
        }
    }

    fn take_idle(&self, now: Monotonic, query: ConnectionQuery<'_>) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&query.address)?;
        connections.retain(|connection| connection.is_usable(now, Duration::MAX));
        let has_failed = |connection: &PooledConnection| {
            let mut request_id = query.request_id.into_iter();
            request_id.any(|request_id| connection.failed.contains(request_id))
        };
        let index = connections.iter().rposition(|connection| {
            connection.is_usable(now, query.idle_max) && !has_failed(connection)
        });
        if let Some(index) = index {
            let connection = connections.remove(index);
            connection.on_taken();
            return Some(connection);
        }
        let index = connections.iter().rposition(has_failed)?;
        self.on_replaced(&connections.remove(index), query);
        None
    }

    /// Records that a connection is closed for a new one, so that the endpoint has no more connections than
    /// before.
    fn on_replaced(&self, connection: &PooledConnection, query: ConnectionQuery<'_>) {
        self.replaced_count.set(self.replaced_count.get() + 1);
        log::info!(
            request = query.request_id,
            address:% = query.address,
            request_count = connection.request_count;
            "a connection is replaced, as the request has failed on it"
        );
    }

    /// Returns a connection to the pool after its answer was read to the end, or closes it if too many requests
    /// have failed on it.
    pub(super) fn release(&self, now: Monotonic, mut connection: PooledConnection) {
        if connection.failed.is_full() {
            return;
        }
        if !connection.is_open() {
            if connection.is_lost() {
                self.on_broken(&connection);
            }
            return;
        }
        connection.limit_idle(self.observed_limit(connection.address));
        connection.on_idle(now);
        let mut idle_limits = self.idle_limits.borrow_mut();
        idle_limits.insert(connection.address, connection.idle_max());
        drop(idle_limits);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < IDLE_MAX_CONNECTIONS {
            connections.push(connection);
        }
    }

    /// Drops the idle connections to an address after one of its connections failed: the others
    /// have probably failed too.
    pub fn discard_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Drops the connections that exceeded their idle timeout or were closed by the peer.
    pub fn discard_stale(&self, now: Monotonic) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| connection.is_usable(now, Duration::MAX));
            !connections.is_empty()
        });
        let mut held = self.held.borrow_mut();
        held.retain(|_, connections| {
            connections.retain(|connection| connection.is_usable(now, Duration::MAX));
            !connections.is_empty()
        });
    }

    /// Returns whether a connection to an address is held and may stay idle for at least this time.
    pub fn is_held(&self, now: Monotonic, address: SocketAddr, time: Duration) -> bool {
        let held = self.held.borrow();
        let mut connections = held.get(&address).into_iter().flatten();
        connections.any(|connection| connection.is_open() && connection.idle_left(now) >= time)
    }

    /// Records that a peer closed this connection unannounced while a request used it.
    pub(super) fn on_broken(&self, connection: &PooledConnection) {
        self.open
            .on_lost(connection.address, connection.opened(), None);
    }

    /// Returns for how long connections to an address may be idle.
    pub fn idle_limit(&self, address: SocketAddr) -> Duration {
        let idle_limits = self.idle_limits.borrow();
        let announced = idle_limits.get(&address).copied().unwrap_or(IDLE_DEFAULT);
        announced.min(self.observed_limit(address))
    }

    /// Returns for how long connections may be idle to an address that announces no idle timeout.
    fn observed_limit(&self, address: SocketAddr) -> Duration {
        let timeout = self.open.observed_timeout(address);
        timeout.map_or(IDLE_DEFAULT, |timeout| timeout.mul_f64(OBSERVED_FRACTION))
    }

    /// Opens a connection that no request takes, beside older ones; returns when it was opened.
    ///
    /// # Errors
    ///
    /// Returns an [`UpstreamError`] if it can't be opened in time.
    pub async fn hold(
        &self,
        now: Monotonic,
        address: SocketAddr,
        connect_timeout: Duration,
        bytes: &ByteCounter,
    ) -> Result<Monotonic, UpstreamError> {
        self.opened_count.set(self.opened_count.get() + 1);
        let connected = timeout(connect_timeout, self.connect(now, address, bytes)).await;
        let connected = connected.map_err(|_| UpstreamError::ConnectTimeout(connect_timeout))?;
        let mut connection = connected?;
        connection.limit_idle(self.idle_limit(address));
        let opened_at = connection.opened_at;
        connection.on_idle(opened_at);
        let mut held = self.held.borrow_mut();
        held.entry(address).or_default().push(connection);
        Ok(opened_at)
    }

    /// Opens a connection that is in none of the pool's places for idle ones.
    ///
    /// # Errors
    ///
    /// Returns an [`UpstreamError`] if it can't be opened.
    pub async fn connect(
        &self,
        now: Monotonic,
        address: SocketAddr,
        bytes: &ByteCounter,
    ) -> Result<PooledConnection, UpstreamError> {
        let began_at = Instant::now();
        let stream = TcpStream::connect(address)
            .await
            .map_err(UpstreamError::Connect)?;
        let opened = Instant::now();
        let opened_at = now + (opened - began_at);
        set_options(&stream).map_err(UpstreamError::Connect)?;
        let limit = HeadLimit::default();
        let gate = SendGate::default();
        let stream = CountedStream::new(stream, bytes.clone());
        let stream = HeadLimitedStream::new(stream, limit.clone(), gate.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(HEAD_MAX_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(UpstreamError::Broken)?;
        let usage = ConnectionUse::new(opened);
        let (open, driven) = (Rc::clone(&self.open), usage.clone());
        let guard = open.add(address, opened_at);
        let driver = tokio::task::spawn_local(async move {
            let ended = connection.await;
            drop(guard);
            if ended.as_ref().err().is_none_or(is_cut) {
                driven.on_cut();
                if let Some(idle) = driven.lost_after() {
                    open.on_lost(address, opened, Some(idle));
                }
            }
            if let Err(error) = ended {
                log::debug!(error:% = error; "an upstream connection failed");
            }
        });
        Ok(PooledConnection::new(
            opened_at,
            address,
            sender,
            limit,
            gate,
            driver.abort_handle(),
            usage,
        ))
    }

    /// Returns whether a connection to an address that was opened before a time is still open.
    pub fn has_older(&self, address: SocketAddr, at: Monotonic) -> bool {
        self.open.has_older(address, at)
    }

    /// Waits until peers close connections unannounced, and returns these.
    pub async fn next_lost(&self) -> Vec<LostConnection> {
        self.open.next_lost().await
    }
}

/// Sets the timeouts after which the kernel fails a connection whose peer does not respond.
///
/// `TCP_USER_TIMEOUT` is not set: it also fails a connection whose peer responds but leaves a long body
/// unread.
fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_PAUSE)
        .with_interval(KEEP_ALIVE_PAUSE)
        .with_retries(KEEP_ALIVE_PROBES);
    socket.set_tcp_keepalive(&keep_alive)
}
