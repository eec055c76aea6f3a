//! The input of a placement.

use super::EndpointKey;
use crate::catalog::Name;

/// A request that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// The service whose endpoints are considered.
    pub service: &'a Name,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// The length of the prompt prefix that other requests share, in tokens.
    pub prefix_tokens: u64,
    /// The endpoint that owns the shared prefix, if it is in the local region.
    pub prefix_endpoint: Option<EndpointKey>,
    /// The priority of the request; 0 is served first.
    pub priority: u8,
    /// The endpoints of earlier attempts, which are left out.
    pub tried: &'a [EndpointKey],
    /// The most requests that this VM may have in flight at one endpoint: its share of the
    /// connections.
    pub local_requests_max: u32,
    /// Whether endpoints that refused a request a moment ago are considered as well.
    pub accepts_refusing: bool,
    /// A random number that seeds the sample of endpoints, where they are many.
    pub draw: u64,
}

impl PlacementQuery<'_> {
    /// Returns the tokens to prefill, with or without the shared prefix in the cache.
    pub const fn prefill_tokens(&self, is_cached: bool) -> u64 {
        if is_cached {
            self.prompt_tokens.saturating_sub(self.prefix_tokens)
        } else {
            self.prompt_tokens
        }
    }
}
