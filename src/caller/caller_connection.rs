//! One open connection of a caller.

use std::future::Future;
use std::ops::Deref;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::errors::ErrorKind;
use crate::errors::GatewayError;

/// The state of one open connection of a caller, shared by its requests and its relay.
#[derive(Debug, Default)]
pub(super) struct CallerConnection {
    disconnected: CancellationToken,
    is_answer_open: AtomicBool,
    is_writing: AtomicBool,
    request_count: AtomicUsize,
    activity_count: AtomicU64,
}

/// A guard that counts one running request on a caller's connection until it is dropped.
#[derive(Debug)]
pub(super) struct OpenRequest {
    connection: Arc<CallerConnection>,
}

impl OpenRequest {
    /// Counts a request on `connection`.
    pub(super) fn new(connection: Arc<CallerConnection>) -> Self {
        connection.request_count.fetch_add(1, Ordering::AcqRel);
        Self { connection }
    }
}

impl Deref for OpenRequest {
    type Target = CallerConnection;

    fn deref(&self) -> &Self::Target {
        &self.connection
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        // The relay may not have received the last bytes of the answer yet.
        self.connection.record_activity();
        self.connection.request_count.fetch_sub(1, Ordering::AcqRel);
    }
}

impl CallerConnection {
    /// Records that the caller disconnected or that its connection is closed.
    pub(super) fn on_disconnect(&self) {
        self.disconnected.cancel();
    }

    /// Completes once [`Self::on_disconnect`] was called.
    pub(super) async fn disconnected(&self) {
        self.disconnected.cancelled().await;
    }

    /// Records that an answer began; it is open until [`Self::end_answer`].
    pub(super) fn begin_answer(&self) {
        self.is_answer_open.store(true, Ordering::Release);
    }

    /// Records that the end mark of the answer was reached.
    pub(super) fn end_answer(&self) {
        self.is_answer_open.store(false, Ordering::Release);
    }

    /// Returns whether an answer began whose end mark was not reached.
    pub(super) fn is_answer_open(&self) -> bool {
        self.is_answer_open.load(Ordering::Acquire)
    }

    /// Records activity, which restarts the idle timeout.
    pub(super) fn record_activity(&self) {
        self.activity_count.fetch_add(1, Ordering::AcqRel);
    }

    /// Records whether bytes wait for the caller to read them.
    pub(super) fn set_writing(&self, is_writing: bool) {
        self.is_writing.store(is_writing, Ordering::Release);
    }

    /// Completes once no request runs and no activity was recorded for at least `limit`.
    pub(super) async fn idle_for(&self, limit: Duration) {
        loop {
            let activity_before = self.activity_count.load(Ordering::Acquire);
            sleep(limit).await;
            let is_inactive = self.activity_count.load(Ordering::Acquire) == activity_before;
            let has_request = self.request_count.load(Ordering::Acquire) > 0;
            if is_inactive && !has_request && !self.is_writing.load(Ordering::Acquire) {
                return;
            }
        }
    }

    /// Runs `work` until it completes or the caller disconnects.
    ///
    /// # Errors
    ///
    /// Returns the error of `work`, or [`ErrorKind::Internal`] if the caller disconnected; nobody
    /// receives the latter.
    pub(super) async fn run_while_open<T>(
        &self,
        work: impl Future<Output = Result<T, GatewayError>>,
    ) -> Result<T, GatewayError> {
        tokio::select! {
            biased;
            () = self.disconnected() => {
                Err(GatewayError::new(ErrorKind::Internal, "the caller disconnected"))
            }
            output = work => output,
        }
    }
}
