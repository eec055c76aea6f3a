//! The refusal of requests whose answers would be late.

use std::time::Duration;

/// The fraction of the target latency up to which a request is accepted; the rest covers what other
/// VMs send at the same time.
const TARGET_FRACTION: f64 = 0.7;

/// The shortest time after which a refused client should retry.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(300);

/// The estimates for a request at the best endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadQuery {
    /// The expected time to the first event, in milliseconds.
    pub expected_ms: f64,
    /// The target for the time to the first event, in milliseconds.
    pub target_ms: f64,
    /// Whether requests wait at the endpoint, or more than half of its slots are taken.
    pub is_busy: bool,
}

/// Returns the time after which the client should retry, or `None` if the request is accepted.
///
/// It bounds the wait when the load exceeds the capacity of the endpoints for seconds: otherwise
/// all answers would be late, and the work on those that miss their deadline would be wasted.
pub fn overload_retry_after(query: &OverloadQuery) -> Option<Duration> {
    let is_on_time = query.expected_ms <= query.target_ms * TARGET_FRACTION;
    if !query.is_busy || is_on_time {
        return None;
    }
    let excess_ms = query.expected_ms - query.target_ms * TARGET_FRACTION;
    let wait = Duration::try_from_secs_f64(excess_ms / 1_000.0).unwrap_or(RETRY_AFTER_MIN);
    Some(wait.max(RETRY_AFTER_MIN))
}
