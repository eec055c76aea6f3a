//! The time limits of one answer.

use std::future::Future;
use std::time::Duration;

use tokio::time::timeout_at;
use tokio::time::Instant;

use super::transport_errors;
use super::EndpointCall;
use crate::errors::GatewayError;

/// The deadline of one answer, and the timeout for its next event.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimeLimits {
    silence_deadline: Instant,
    silence_timeout: Duration,
    deadline: Instant,
}

impl TimeLimits {
    /// Starts the limits of `call`, which is about to be sent.
    pub(super) fn start(call: &EndpointCall) -> Self {
        let now = Instant::now();
        Self {
            silence_deadline: now + call.first_event_timeout,
            silence_timeout: call.silence_timeout,
            deadline: now + call.remaining,
        }
    }

    /// Restarts the timeout for the next event after one has arrived.
    pub(super) fn restart_silence_timeout(&mut self) {
        self.silence_deadline = Instant::now() + self.silence_timeout;
    }

    /// Waits for `future` within the limits.
    ///
    /// # Errors
    ///
    /// Returns `AnswerSilent` after the timeout, or `DeadlineExceeded` if the deadline comes first.
    pub(super) async fn enforce<T>(
        &self,
        future: impl Future<Output = T>,
    ) -> Result<T, GatewayError> {
        let limit = self.silence_deadline.min(self.deadline);
        match timeout_at(limit, future).await {
            Ok(output) => Ok(output),
            Err(_) if self.deadline <= self.silence_deadline => Err(transport_errors::deadline()),
            Err(_) => Err(transport_errors::silent()),
        }
    }
}
