//! The faults that an endpoint stand-in can simulate.

use std::time::Duration;

use http::HeaderValue;
use http::StatusCode;

use super::CrashingRequest;

/// The faults that an endpoint stand-in simulates; the default simulates none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointFaults {
    /// Refuses requests with a header that says they did not run.
    pub is_full: bool,
    /// The value of `Retry-After` in refusals and failures; `None` sends no such header.
    pub retry_after: Option<HeaderValue>,
    /// The requests per second that it names in all answers as its limit; `None` names none.
    pub rate_limit: Option<HeaderValue>,
    /// The refusals per second for want of room that it bears, which it names in all answers; `None` names
    /// none.
    pub brittle: Option<HeaderValue>,
    /// The number of answers in progress from which on it refuses requests; `None` for any.
    pub room: Option<usize>,
    /// Announces in all answers that it is about to stop.
    pub is_leaving: bool,
    /// Runs requests, but resets the connection instead of sending the body of a plain answer.
    pub loses_answers: bool,
    /// Runs requests and answers them with this status and its signature.
    pub failure_status: Option<StatusCode>,
    /// The length of plain answers; `None` for a short one.
    pub answer_bytes: Option<usize>,
    /// Sends answers with the identifier of another request.
    pub mislabels_answers: bool,
    /// Resets streams after half of the event with this number.
    pub truncated_event: Option<u64>,
    /// Resets one in this many streams in the middle; `None` for none.
    pub breaks_one_in: Option<usize>,
    /// Sends bytes that complete no event without end, this many at a time, in place of a stream.
    pub endless_bytes: Option<usize>,
    /// The identifier of the prompt part that crashes the endpoint when it begins to write a stream,
    /// unless it is the last part of the prompt.
    pub crashing_part: Option<String>,
    /// The requests that crash the endpoint when it runs them. How far the answer gets before depends
    /// on the number of crashes.
    pub crashing_requests: Vec<CrashingRequest>,
    /// Reports the number of answers in progress as its load; otherwise always one.
    pub reports_load: bool,
    /// Answers `/report` with this text; `None` for a whole report.
    pub report: Option<String>,
    /// The delay before the head of each answer.
    pub head_delay: Duration,
    /// The delay before each event and each plain answer.
    pub pause: Duration,
}

impl EndpointFaults {
    /// Returns the named rate, in requests per second, unless it is no rate.
    pub(super) fn rate_per_s(&self) -> Option<f64> {
        let text = self.rate_limit.as_ref()?.to_str().ok()?;
        text.parse().ok().filter(|rate| *rate >= 0.0)
    }

    /// Returns the event at which the stream of the request with this number is reset; `None` for none.
    pub(super) fn last_event(&self, request_number: usize) -> Option<u64> {
        let breaks = self
            .breaks_one_in
            .is_some_and(|one_in| request_number.is_multiple_of(one_in));
        self.truncated_event.or(breaks.then_some(3))
    }

    /// Returns whether a request crashes the endpoint.
    pub(super) fn crashes_at(&self, path: &str, body: &[u8]) -> bool {
        let mut requests = self.crashing_requests.iter();
        requests.any(|request| request.path == path && *request.body == *body)
    }

    /// Returns whether a prompt with these parts crashes the endpoint.
    pub(super) fn crashes_under(&self, prompt_parts: &str) -> bool {
        let Some((shared, _)) = prompt_parts.rsplit_once(',') else {
            return false;
        };
        let mut ids = shared.split(',').map(|part| match part.split_once(':') {
            Some((id, _)) => id.trim(),
            None => part.trim(),
        });
        ids.any(|id| self.crashing_part.as_deref() == Some(id))
    }
}
