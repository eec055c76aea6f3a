//! Client accounts.

use super::Name;
use super::RegionKey;

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAccount {
    /// The name.
    pub name: Name,
    /// The regions in which requests of the account may run.
    pub allowed_regions: Vec<RegionKey>,
    /// The rate over all VMs together, in tokens per second.
    pub rate_tokens_per_s: u64,
    /// The burst over all VMs together, in tokens.
    pub burst_tokens: u64,
    /// The weight in fair scheduling, at least 1.
    pub weight: u32,
    /// The published split of rate and burst over regions; empty means equal shares
    /// for all allowed regions.
    pub region_shares: Vec<RegionShare>,
}

/// The share of an account's rate and burst that belongs to one region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegionShare {
    /// The region.
    pub region: RegionKey,
    /// The weight relative to the other shares of the account.
    pub weight: u32,
}

impl ClientAccount {
    /// Returns whether requests of the account may run in `region`.
    pub fn allows_region(&self, region: RegionKey) -> bool {
        self.allowed_regions.contains(&region)
    }
}
