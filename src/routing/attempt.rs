//! One request sent to one endpoint.

use std::time::Duration;

use crate::clock::Monotonic;
use crate::request::Call;
use crate::request::CallBody;

/// One request sent to one endpoint; made by [`EndpointLoad::on_sent`](super::EndpointLoad::on_sent)
/// and given back when it is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    pub(super) sent_at: Monotonic,
    pub(super) network_time: Duration,
    pub(super) first_event_at: Option<Monotonic>,
    pub(super) prompt_tokens: u64,
    pub(super) work_tokens: u64,
    pub(super) prefix_hashes: Vec<u64>,
    pub(super) is_probe: bool,
}

impl Attempt {
    /// Returns when the request was sent.
    pub fn sent_at(&self) -> Monotonic {
        self.sent_at
    }
}

/// Returns the length of the prompt of a call, in tokens; calls of plain services count as one.
pub(super) fn prompt_tokens(call: &Call) -> u64 {
    match &call.body {
        CallBody::Completion(completion) => completion.prompt_tokens.max(1),
        CallBody::Service(_) => 1,
    }
}

/// Returns the hashes of the growing prefixes of a call's prompt, shortest first.
pub(super) fn prefix_hashes(call: &Call) -> &[u64] {
    match &call.body {
        CallBody::Completion(completion) => &completion.prefix_hashes,
        CallBody::Service(_) => &[],
    }
}
