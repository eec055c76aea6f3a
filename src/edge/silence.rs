//! Waits for an endpoint or VM that may be silent for a time and go on.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use tokio::time::timeout;

use super::UpstreamError;
use crate::clock::Monotonic;
use crate::entry::EntryState;

/// The time after which a silent attempt that had no alternative looks for one again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How long an attempt waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SilenceLimits {
    /// The silence after which the attempt may be given up for another one; `None` if no other may
    /// follow.
    pub(super) silence_timeout: Option<Duration>,
    /// The time until the deadline of the request.
    pub(super) time_left: Duration,
}

/// Waits for `event` until the deadline.
///
/// After the silence timeout the wait ends as soon as `try_leave` returns true: a silent endpoint may
/// be sound, so its attempt is given up only for one that can be made at once.
///
/// # Errors
///
/// Returns [`UpstreamError::Timeout`] if the attempt is given up, [`UpstreamError::DeadlinePassed`]
/// at the deadline.
pub(super) async fn wait_for<T>(
    state: &EntryState,
    limits: SilenceLimits,
    event: impl Future<Output = T>,
    mut try_leave: impl FnMut(Monotonic) -> bool,
) -> Result<T, UpstreamError> {
    let began_at = state.now();
    let mut event = pin!(event);
    let mut pause = limits.silence_timeout.unwrap_or(limits.time_left);
    loop {
        let silence = state.now().since(began_at);
        let time_left = limits.time_left.saturating_sub(silence);
        if let Ok(output) = timeout(pause.min(time_left), &mut event).await {
            return Ok(output);
        }
        let now = state.now();
        let silence = now.since(began_at);
        if silence >= limits.time_left {
            return Err(UpstreamError::DeadlinePassed);
        }
        if limits.silence_timeout.is_some() && try_leave(now) {
            return Err(UpstreamError::Timeout(silence));
        }
        pause = RECHECK_INTERVAL;
    }
}
