//! What is asked of the placement.

use super::EndpointKey;
use crate::catalog::Name;

/// A request that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// The service.
    pub service: &'a Name,
    /// The prompt tokens.
    pub prompt_tokens: u64,
    /// The prompt tokens that other requests share.
    pub prefix_tokens: u64,
    /// The endpoint that keeps the shared part of the prompt, if it is of the own region.
    pub prefix_endpoint: Option<EndpointKey>,
    /// The rank of the request, 0 first.
    pub rank: u8,
    /// The endpoints that the request was sent to already.
    pub tried: &'a [EndpointKey],
    /// The requests that this VM may have at one endpoint: its share of the connections.
    pub local_requests_max: u32,
    /// Whether an endpoint that refused a moment ago is better than none.
    pub accepts_refusing: bool,
    /// A random number, by which endpoints are drawn where they are many.
    pub draw: u64,
}

impl PlacementQuery<'_> {
    /// Returns the tokens to prefill where nothing, or all shared parts, are cached.
    pub const fn prefill_tokens(&self, is_cached: bool) -> u64 {
        if is_cached {
            self.prompt_tokens.saturating_sub(self.prefix_tokens)
        } else {
            self.prompt_tokens
        }
    }
}
