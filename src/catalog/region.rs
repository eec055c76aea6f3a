//! Regions and the links between them.

use super::Name;
use super::RegionKey;

/// A region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Region {
    /// The name.
    pub name: Name,
    /// The links to other regions; a missing link means that latency and bandwidth are unknown.
    pub links: Vec<Link>,
}

/// The wide-area link from one region to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Link {
    /// The region that the link leads to.
    pub to: RegionKey,
    /// The one-way latency, in microseconds.
    pub one_way_us: u64,
    /// The bandwidth in each direction, in bits per second.
    pub bandwidth_bits_per_s: u64,
}
