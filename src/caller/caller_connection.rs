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

/// One open connection of a caller, as requests and the relay of its bytes share it.
#[derive(Debug, Default)]
pub(super) struct CallerConnection {
    hung_up: CancellationToken,
    is_answer_open: AtomicBool,
    is_writing: AtomicBool,
    request_count: AtomicUsize,
    move_count: AtomicU64,
}

/// A request that runs on a connection of a caller.
#[derive(Debug)]
pub(super) struct OpenRequest {
    connection: Arc<CallerConnection>,
}

impl OpenRequest {
    /// Records that a request runs on `connection`, until it is dropped.
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
        // The last bytes of the answer may still be on their way to the relay.
        self.connection.record_move();
        self.connection.request_count.fetch_sub(1, Ordering::AcqRel);
    }
}

impl CallerConnection {
    /// Records that the caller is gone.
    pub(super) fn hang_up(&self) {
        self.hung_up.cancel();
    }

    /// Completes once the caller is gone.
    pub(super) async fn hung_up(&self) {
        self.hung_up.cancelled().await;
    }

    /// Records that an answer begins whose end mark has not come.
    pub(super) fn begin_answer(&self) {
        self.is_answer_open.store(true, Ordering::Release);
    }

    /// Records that the end mark of the answer came.
    pub(super) fn end_answer(&self) {
        self.is_answer_open.store(false, Ordering::Release);
    }

    /// Tells whether an answer began whose end mark has not come.
    pub(super) fn is_answer_open(&self) -> bool {
        self.is_answer_open.load(Ordering::Acquire)
    }

    /// Records that bytes came from either side.
    pub(super) fn record_move(&self) {
        self.move_count.fetch_add(1, Ordering::AcqRel);
    }

    /// Records whether bytes wait for the caller to take them.
    pub(super) fn set_writing(&self, is_writing: bool) {
        self.is_writing.store(is_writing, Ordering::Release);
    }

    /// Completes once no request runs and nothing moves for at least `limit`.
    pub(super) async fn idle_for(&self, limit: Duration) {
        loop {
            let moves_before = self.move_count.load(Ordering::Acquire);
            sleep(limit).await;
            let is_unmoved = self.move_count.load(Ordering::Acquire) == moves_before;
            let has_request = self.request_count.load(Ordering::Acquire) > 0;
            if is_unmoved && !has_request && !self.is_writing.load(Ordering::Acquire) {
                return;
            }
        }
    }

    /// Runs `work` until it completes or the caller is gone.
    ///
    /// # Errors
    ///
    /// Returns the error of `work`, or one that nobody reads if the caller is gone.
    pub(super) async fn run_while_open<T>(
        &self,
        work: impl Future<Output = Result<T, GatewayError>>,
    ) -> Result<T, GatewayError> {
        tokio::select! {
            biased;
            () = self.hung_up() => {
                Err(GatewayError::new(ErrorKind::Internal, "the caller hung up"))
            }
            output = work => output,
        }
    }
}
