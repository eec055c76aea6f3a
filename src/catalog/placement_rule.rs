//! Placement rules: where models are to be loaded.

use super::Name;
use super::RegionKey;
use super::RouteKey;

/// The wanted number of engines that hold a model in a region.
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
    /// The wanted number of engines.
    pub engine_count: u32,
}
