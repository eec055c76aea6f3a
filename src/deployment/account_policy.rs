//! What a client account may ask for.

use slotmap::new_key_type;

use super::RegionKey;
use crate::catalog::Name;

new_key_type! {
    /// A client account of a [`Deployment`](super::Deployment).
    pub struct AccountKey;
}

/// The rank, rate and placement of a client account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountPolicy {
    /// The name that endpoints are told.
    pub name: Name,
    /// The rank of its requests, 0 first; it goes before the rank of a route.
    pub priority: Option<u8>,
    /// The rate over all VMs, in units a second; `None` for no limit.
    pub rate_per_s: Option<f64>,
    /// The units that may be used above the rate.
    pub burst: f64,
    /// Whether a unit is a token; otherwise it is a request.
    pub is_counted_in_tokens: bool,
    /// The tokens of a request that declares none.
    pub undeclared_tokens: u64,
    /// The only regions that may serve the account; empty for all.
    pub home_regions: Vec<RegionKey>,
}
