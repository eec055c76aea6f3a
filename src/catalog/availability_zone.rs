//! Availability zones.

use super::Name;
use super::RegionKey;

/// An availability zone of a region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AvailabilityZone {
    /// The name, unique over all regions.
    pub name: Name,
    /// The region that the zone belongs to.
    pub region: RegionKey,
}
