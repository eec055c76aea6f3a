//! A request in flight at an endpoint.

use std::time::Duration;

use crate::clock::Monotonic;
use crate::request::Call;
use crate::request::CallBody;

/// A request in flight at an endpoint.
///
/// Created by [`EndpointLoad::on_sent`](super::EndpointLoad::on_sent) or `on_forwarded`, and
/// consumed by `on_done` or `on_failed`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    pub(super) sent_at: Monotonic,
    pub(super) network_time: Duration,
    pub(super) first_event_at: Option<Monotonic>,
    pub(super) prompt_tokens: u64,
    pub(super) work_tokens: u64,
    pub(super) prefix_hashes: Vec<u64>,
    pub(super) is_probe: bool,
    pub(super) is_silent: bool,
    pub(super) latest_event_at: Monotonic,
}

impl Attempt {
    /// Returns when the request was sent.
    pub fn sent_at(&self) -> Monotonic {
        self.sent_at
    }
}

/// Returns the prompt length of a call, in tokens; a call of a plain service counts as one token.
pub(super) fn prompt_tokens(call: &Call) -> u64 {
    match &call.body {
        CallBody::Completion(completion) => completion.prompt_tokens.max(1),
        CallBody::Service(_) => 1,
    }
}

/// Returns the hashes of the prompt's prefixes, shortest first; empty for plain services.
pub(super) fn prefix_hashes(call: &Call) -> &[u64] {
    match &call.body {
        CallBody::Completion(completion) => &completion.prefix_hashes,
        CallBody::Service(_) => &[],
    }
}
