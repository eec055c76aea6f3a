//! The endpoint chosen for a request.

use super::EndpointKey;
use crate::clock::Monotonic;

/// The endpoint chosen for a request, and the estimates behind the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// The chosen endpoint.
    pub endpoint: EndpointKey,
    /// The expected time to the first event, in milliseconds.
    pub expected_ms: f64,
    /// The prompt tokens that the endpoint will have to prefill.
    pub prefill_tokens: u64,
    /// The tokens that it has to prefill before the first event, those of earlier requests included.
    pub queued_tokens: u64,
    /// The expected time to prefill the prompt, in milliseconds.
    pub prefill_ms: f64,
    /// The priority of the request; 0 is served first.
    pub priority: u8,
    /// When the endpoint was chosen.
    pub chosen_at: Monotonic,
    /// Whether prompts wait at the endpoint, or more than half of its slots are taken.
    pub is_busy: bool,
}
