//! One open connection of a caller.

use std::future::Future;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio_util::sync::CancellationToken;

use crate::errors::ErrorKind;
use crate::errors::GatewayError;

/// One open connection of a caller, as requests and the relay of its bytes share it.
#[derive(Debug, Default)]
pub(super) struct CallerConnection {
    hung_up: CancellationToken,
    is_answer_open: AtomicBool,
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
