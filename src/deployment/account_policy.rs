//! The priority, rate limit and placement of a client account.

use slotmap::new_key_type;

use super::HomeRegions;
use crate::catalog::Name;

new_key_type! {
    /// A client account of a [`Deployment`](super::Deployment).
    pub struct AccountKey;
}

/// The priority, rate limit and placement of a client account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountPolicy {
    /// The name, which is also sent to endpoints.
    pub name: Name,
    /// The priority of its requests, 0 first; `None` for the priority of the route.
    pub priority: Option<u8>,
    /// The rate limit over all VMs, in units per second; `None` for no limit.
    pub rate_per_s: Option<f64>,
    /// The units that may be used at once above the rate.
    pub burst: f64,
    /// Whether a unit of the rate is a token; otherwise it is a request.
    pub is_counted_in_tokens: bool,
    /// The tokens charged for a request that does not declare its tokens.
    pub undeclared_tokens: u64,
    /// The regions that may serve the account.
    pub home_regions: HomeRegions,
}
