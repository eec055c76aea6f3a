//! Typed keys into the arenas of a [`Catalog`](super::Catalog).

use slotmap::new_key_type;

new_key_type! {
    /// The key of a region.
    pub struct RegionKey;

    /// The key of an availability zone.
    pub struct AvailabilityZoneKey;

    /// The key of a VM.
    pub struct VmKey;

    /// The key of a client account.
    pub struct ClientAccountKey;

    /// The key of a route.
    pub struct RouteKey;

    /// The key of an endpoint.
    pub struct EndpointKey;

    /// The key of a placement rule.
    pub struct PlacementRuleKey;
}
