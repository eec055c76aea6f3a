//! The faults that an endpoint stand-in can simulate.

use std::time::Duration;

use http::HeaderValue;

/// The faults that an endpoint stand-in simulates; the default simulates none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointFaults {
    /// Refuses requests with a header that says they did not run.
    pub is_full: bool,
    /// The value of `Retry-After` in refusals; `None` sends no such header.
    pub retry_after: Option<HeaderValue>,
    /// Announces in all answers that it is about to stop.
    pub is_leaving: bool,
    /// Runs requests, but resets the connection instead of sending the body of a plain answer.
    pub loses_answers: bool,
    /// Sends answers with the identifier of another request.
    pub mislabels_answers: bool,
    /// Resets streams after half of the event with this number.
    pub truncated_event: Option<u64>,
    /// Sends bytes that complete no event without end, this many at a time, in place of a stream.
    pub endless_bytes: Option<usize>,
    /// The delay before each event and each plain answer.
    pub pause: Duration,
}
