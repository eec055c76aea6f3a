//! The input of a placement.

use super::EndpointKey;
use super::VersionConstraint;
use crate::catalog::Name;

/// The part of a prefix that counts as prefilled by its replica, which has it cached only if the
/// owner was too busy a short time ago.
const REPLICA_MISS_FRACTION: f64 = 0.5;

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
    /// The endpoint of the local region that takes the requests with this prefix that its owner is
    /// too busy for.
    pub prefix_replica: Option<EndpointKey>,
    /// The priority of the request; 0 is served first.
    pub priority: u8,
    /// The number of VMs of the region that send requests to its endpoints, this one included.
    pub local_vm_count: u32,
    /// The software version that the endpoint must have; `None` for any.
    pub version: Option<VersionConstraint>,
    /// The endpoints of earlier attempts, which are left out.
    pub tried: &'a [EndpointKey],
    /// The most requests that this VM may have in flight at one endpoint: its share of the
    /// connections.
    pub local_requests_max: u32,
    /// Whether endpoints that refused a request or were silent a moment ago are considered as well.
    pub accepts_avoided: bool,
    /// A random number that seeds the sample of endpoints, where they are many.
    pub draw: u64,
}

impl PlacementQuery<'_> {
    /// Returns the tokens to prefill at an endpoint of the local region.
    pub fn prefill_tokens_at(&self, endpoint: EndpointKey) -> u64 {
        if self.prefix_endpoint == Some(endpoint) {
            return self.prefill_tokens(true);
        }
        if self.prefix_replica != Some(endpoint) {
            return self.prefill_tokens(false);
        }
        let missed_tokens = self.prefix_tokens as f64 * REPLICA_MISS_FRACTION;
        self.prefill_tokens(true) + missed_tokens as u64
    }

    /// Returns the tokens to prefill, with or without the shared prefix in the cache.
    pub const fn prefill_tokens(&self, is_cached: bool) -> u64 {
        if is_cached {
            self.prompt_tokens.saturating_sub(self.prefix_tokens)
        } else {
            self.prompt_tokens
        }
    }
}
