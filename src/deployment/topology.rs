//! The regions and availability zones of a deployment.

use crate::catalog::Name;

/// A region of the [`Topology`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionKey(pub u16);

/// An availability zone of the [`Topology`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneKey(pub u16);

/// The regions and availability zones; keys index names in alphabetical order.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    regions: Vec<Name>,
    zones: Vec<(Name, RegionKey)>,
}

impl Topology {
    /// Builds the topology from pairs of availability zone and region.
    pub fn new(pairs: impl IntoIterator<Item = (Name, Name)>) -> Self {
        let mut pairs: Vec<(Name, Name)> = pairs.into_iter().collect();
        pairs.sort();
        let mut regions: Vec<Name> = pairs.iter().map(|(_, region)| region.clone()).collect();
        regions.sort();
        regions.dedup();
        let key = |region: &Name| {
            let index = regions.binary_search(region).unwrap_or_default();
            RegionKey(u16::try_from(index).unwrap_or(u16::MAX))
        };
        let zones = pairs
            .iter()
            .map(|(zone, region)| (zone.clone(), key(region)))
            .collect();
        Self { regions, zones }
    }

    /// Returns the key of an availability zone.
    pub fn zone(&self, name: &str) -> Option<ZoneKey> {
        let index = self
            .zones
            .binary_search_by(|(zone, _)| zone.as_str().cmp(name))
            .ok()?;
        u16::try_from(index).ok().map(ZoneKey)
    }

    /// Returns the key of a region.
    pub fn region(&self, name: &str) -> Option<RegionKey> {
        let index = self
            .regions
            .binary_search_by(|region| region.as_str().cmp(name))
            .ok()?;
        u16::try_from(index).ok().map(RegionKey)
    }

    /// Returns the region of an availability zone.
    ///
    /// # Panics
    ///
    /// Panics if the key belongs to another topology.
    pub fn region_of(&self, zone: ZoneKey) -> RegionKey {
        self.zones[usize::from(zone.0)].1
    }

    /// Returns the name of an availability zone.
    pub fn zone_name(&self, zone: ZoneKey) -> Option<&Name> {
        self.zones.get(usize::from(zone.0)).map(|(name, _)| name)
    }

    /// Returns all regions.
    pub fn regions(&self) -> impl Iterator<Item = RegionKey> + '_ {
        (0..self.regions.len()).filter_map(|index| u16::try_from(index).ok().map(RegionKey))
    }

    /// Returns the number of availability zones.
    pub fn zone_count(&self) -> usize {
        self.zones.len()
    }
}
