//! A request as an endpoint stand-in received it.

use std::time::Duration;
use std::time::Instant;

/// A request as an endpoint stand-in received it, and what its answer asked of the sender.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The identifier of the request.
    pub request_id: String,
    /// When the whole request had arrived.
    pub at: Instant,
    /// How often the endpoint had been replaced by another instance.
    pub replaced_count: u64,
    /// Whether the answer announced that the endpoint is about to stop.
    pub is_leaving: bool,
    /// The rate that the answer named, in requests per second; `None` if it named none that is valid.
    pub rate_per_s: Option<f64>,
    /// The time in the `Retry-After` of a refusal.
    pub retry_after: Option<Duration>,
}
