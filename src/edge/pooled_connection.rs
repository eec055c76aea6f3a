//! One connection to an endpoint or another VM.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::connection_end::ConnectionUse;
use super::connection_end::IdleTime;
use super::failed_requests::FailedRequests;
use super::head_limit::HeadLimit;
use super::send_gate::SendGate;
use super::UpstreamError;
use crate::clock::Monotonic;

/// The longest idle time of a connection; an endpoint's `Keep-Alive` can shorten it.
pub(super) const IDLE_DEFAULT: Duration = Duration::from_millis(4_000);

/// How long before an endpoint's idle timeout a connection is no longer used.
const IDLE_RESERVE: Duration = Duration::from_millis(1_000);

/// A connection; dropping it closes it, which makes the peer cancel the request that it serves.
pub struct PooledConnection {
    pub(super) address: SocketAddr,
    pub(super) is_reused: bool,
    /// The number of requests sent on it.
    pub(super) request_count: u32,
    /// The requests that must not be sent on it again.
    pub(super) failed: FailedRequests,
    /// When it was opened.
    pub(super) opened_at: Monotonic,
    /// When the process that it leads to started, in Unix milliseconds; `None` if that is not known.
    pub(super) process_started_unix_ms: Option<u64>,
    sender: SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
    gate: SendGate,
    driver: AbortHandle,
    usage: ConnectionUse,
    is_closing: bool,
    keep_alive: Option<Duration>,
    idle_max: Duration,
    idle_since: Monotonic,
}

impl PooledConnection {
    pub(super) fn new(
        opened_at: Monotonic,
        address: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        head_limit: HeadLimit,
        gate: SendGate,
        driver: AbortHandle,
        usage: ConnectionUse,
    ) -> Self {
        Self {
            address,
            is_reused: false,
            request_count: 0,
            failed: FailedRequests::default(),
            opened_at,
            process_started_unix_ms: None,
            sender,
            head_limit,
            gate,
            driver,
            usage,
            is_closing: false,
            keep_alive: None,
            idle_max: IDLE_DEFAULT,
            idle_since: Monotonic::ZERO,
        }
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns an [`UpstreamError`] if there is none; [`UpstreamError::is_not_sent`] says of it whether nothing of
    /// the request was, or will be, written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, UpstreamError> {
        self.gate.start();
        if self.sender.ready().await.is_err() {
            return Err(UpstreamError::NotSent);
        }
        self.request_count = self.request_count.saturating_add(1);
        self.head_limit.start();
        let sent = self.sender.try_send_request(request).await;
        self.head_limit.lift();
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => UpstreamError::NotSent,
            None if self.gate.has_stopped() => UpstreamError::NotWanted,
            None if self.gate.stop_unwritten() => UpstreamError::NotSent,
            None => UpstreamError::Broken(error.into_error()),
        })
    }

    /// Sends a request if it is still wanted when its first bytes are written, and waits for the head of
    /// its answer.
    pub(super) async fn send_if(
        &mut self,
        request: Request<Full<Bytes>>,
        is_wanted: impl Fn() -> bool + 'static,
    ) -> Result<Response<Incoming>, UpstreamError> {
        self.gate.set(is_wanted);
        self.send(request).await
    }

    /// Returns whether nothing of the last request was written, and then makes sure that nothing will be.
    pub(super) fn stop_unwritten(&self) -> bool {
        self.gate.stop_unwritten()
    }

    /// Applies the idle timeout that the peer announced.
    pub(super) fn on_keep_alive(&mut self, keep_alive: Duration) {
        self.keep_alive = Some(keep_alive);
        self.idle_max = keep_alive.saturating_sub(IDLE_RESERVE).min(IDLE_DEFAULT);
    }

    /// Returns the longest idle time.
    pub(super) const fn idle_max(&self) -> Duration {
        self.idle_max
    }

    /// Shortens the longest idle time.
    pub(super) fn limit_idle(&mut self, idle_max: Duration) {
        self.idle_max = self.idle_max.min(idle_max);
    }

    /// Returns whether the peer announced that it closes the connection.
    pub(super) const fn is_closing(&self) -> bool {
        self.is_closing
    }

    /// Returns when it was opened, by the clock of the runtime.
    pub(super) const fn opened(&self) -> Instant {
        self.usage.opened
    }

    /// Returns whether the peer has closed it unannounced.
    pub(super) fn is_lost(&self) -> bool {
        self.usage.is_cut() && !self.is_closing
    }

    /// Returns whether neither side has closed it.
    pub(super) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Returns for how much longer it may be idle.
    pub(super) fn idle_left(&self, now: Monotonic) -> Duration {
        self.idle_max.saturating_sub(now.since(self.idle_since))
    }

    /// Records that the peer announced that it closes the connection after the answer.
    pub(super) const fn on_closing(&mut self) {
        self.is_closing = true;
    }

    /// Records that a request takes the connection.
    pub(super) fn on_taken(&self) {
        self.usage.set(None);
    }

    pub(super) fn on_idle(&mut self, now: Monotonic) {
        let idle = IdleTime {
            since: Instant::now(),
            keep_alive: self.keep_alive,
        };
        self.usage.set(Some(idle).filter(|_| !self.is_closing));
        self.idle_since = now;
        self.is_reused = true;
    }

    /// Returns whether a request may still be sent on the idle connection.
    pub(super) fn is_usable(&self, now: Monotonic, idle_max: Duration) -> bool {
        let idle = now.since(self.idle_since);
        !self.sender.is_closed() && idle < self.idle_max.min(idle_max)
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
