//! Whether a request is refused because its answer would come too late.

use std::time::Duration;

/// The part of the target latency up to which a request is taken; the rest allows for what other
/// VMs send at the same time.
const TARGET_PART: f64 = 0.7;

/// The shortest time after which a refused client should come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(300);

/// What is known of a request and of the best endpoint for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadQuery {
    /// The expected time to the first event, in milliseconds.
    pub expected_ms: f64,
    /// The time within which the first event is on time, in milliseconds.
    pub target_ms: f64,
    /// Whether requests wait at the endpoint, or more than half of its places are taken.
    pub is_busy: bool,
}

/// Returns when a client should come back, if its request should be refused now.
///
/// It answers loads above what the endpoints can serve for seconds: without a bound on the wait
/// all answers are late, and the work on those that miss their deadline is lost.
pub fn overload_retry_after(query: &OverloadQuery) -> Option<Duration> {
    let is_on_time = query.expected_ms <= query.target_ms * TARGET_PART;
    if !query.is_busy || is_on_time {
        return None;
    }
    let excess_ms = query.expected_ms - query.target_ms * TARGET_PART;
    let wait = Duration::try_from_secs_f64(excess_ms / 1_000.0).unwrap_or(RETRY_AFTER_MIN);
    Some(wait.max(RETRY_AFTER_MIN))
}
