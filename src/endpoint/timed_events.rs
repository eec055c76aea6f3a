//! Time limits of one answer.

use std::future::Future;
use std::time::Duration;

use tokio::time::timeout_at;
use tokio::time::Instant;

use super::transport_errors;
use super::EndpointCall;
use crate::errors::GatewayError;

/// The time limits of one answer, counted from the sending of its request.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimeLimits {
    silent_at: Instant,
    silence_timeout: Duration,
    deadline: Instant,
}

impl TimeLimits {
    /// Starts the limits of `call`.
    pub(super) fn start(call: &EndpointCall) -> Self {
        let now = Instant::now();
        Self {
            silent_at: now + call.first_event_timeout,
            silence_timeout: call.silence_timeout,
            deadline: now + call.remaining,
        }
    }

    /// Records a sign of life.
    pub(super) fn renew(&mut self) {
        self.silent_at = Instant::now() + self.silence_timeout;
    }

    /// Waits for `future` within the limits.
    ///
    /// # Errors
    ///
    /// Returns the silence or the passed deadline as an error.
    pub(super) async fn watch<T>(
        &self,
        future: impl Future<Output = T>,
    ) -> Result<T, GatewayError> {
        let limit = self.silent_at.min(self.deadline);
        match timeout_at(limit, future).await {
            Ok(output) => Ok(output),
            Err(_) if self.deadline <= self.silent_at => Err(transport_errors::deadline()),
            Err(_) => Err(transport_errors::silent()),
        }
    }
}
