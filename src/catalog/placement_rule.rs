//! Placement rules: the regions in which models are to be loaded.

use super::Name;
use super::RegionKey;
use super::RouteKey;

/// The desired number of engines in a region that have a model loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementRule {
    /// The name.
    pub name: Name,
    /// The route of the model.
    pub route: RouteKey,
    /// The region.
    pub region: RegionKey,
    /// The version of the model.
    pub version: Name,
    /// The desired number of engines.
    pub engine_count: u32,
}
