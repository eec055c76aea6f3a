//! An immutable snapshot of all published objects.

use std::collections::HashMap;

use slotmap::SlotMap;

use super::AvailabilityZone;
use super::AvailabilityZoneKey;
use super::ClientAccount;
use super::ClientAccountKey;
use super::Endpoint;
use super::EndpointKey;
use super::KeyDigest;
use super::Link;
use super::Name;
use super::PlacementRule;
use super::PlacementRuleKey;
use super::Region;
use super::RegionKey;
use super::Route;
use super::RouteKey;
use super::RouteKind;
use super::TicketNumber;
use super::Vm;
use super::VmKey;

/// All published objects that are in force at one VM.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The highest ticket whose objects are in force.
    pub ticket: TicketNumber,
    /// The regions.
    pub regions: SlotMap<RegionKey, Region>,
    /// The availability zones.
    pub availability_zones: SlotMap<AvailabilityZoneKey, AvailabilityZone>,
    /// The entry VMs.
    pub vms: SlotMap<VmKey, Vm>,
    /// The client accounts.
    pub client_accounts: SlotMap<ClientAccountKey, ClientAccount>,
    /// The routes.
    pub routes: SlotMap<RouteKey, Route>,
    /// The endpoints.
    pub endpoints: SlotMap<EndpointKey, Endpoint>,
    /// The placement rules.
    pub placement_rules: SlotMap<PlacementRuleKey, PlacementRule>,
    pub(super) api_keys: HashMap<KeyDigest, ClientAccountKey>,
    pub(super) region_names: HashMap<Name, RegionKey>,
    pub(super) availability_zone_names: HashMap<Name, AvailabilityZoneKey>,
    pub(super) vm_names: HashMap<Name, VmKey>,
    pub(super) client_account_names: HashMap<Name, ClientAccountKey>,
    pub(super) route_names: HashMap<Name, RouteKey>,
    pub(super) endpoint_names: HashMap<Name, EndpointKey>,
    pub(super) placement_rule_names: HashMap<Name, PlacementRuleKey>,
}

impl Catalog {
    /// Finds the client account that a key belongs to.
    ///
    /// The stored digest is compared in constant time. The hash map lookup is not, but its timing
    /// depends only on digests, which reveal nothing about the key.
    pub fn client_account_of_key(&self, digest: &KeyDigest) -> Option<ClientAccountKey> {
        let (stored, account) = self.api_keys.get_key_value(digest)?;
        if !stored.matches(digest) {
            return None;
        }
        Some(*account)
    }

    /// Finds a region by name.
    pub fn region_named(&self, name: &Name) -> Option<RegionKey> {
        self.region_names.get(name).copied()
    }

    /// Finds an availability zone by name.
    pub fn availability_zone_named(&self, name: &Name) -> Option<AvailabilityZoneKey> {
        self.availability_zone_names.get(name).copied()
    }

    /// Finds a VM by name.
    pub fn vm_named(&self, name: &Name) -> Option<VmKey> {
        self.vm_names.get(name).copied()
    }

    /// Finds a client account by name.
    pub fn client_account_named(&self, name: &Name) -> Option<ClientAccountKey> {
        self.client_account_names.get(name).copied()
    }

    /// Finds a route by name.
    pub fn route_named(&self, name: &Name) -> Option<RouteKey> {
        self.route_names.get(name).copied()
    }

    /// Finds the route of a model by name.
    pub fn model_named(&self, name: &Name) -> Option<RouteKey> {
        let key = self.route_named(name)?;
        (self.routes[key].kind == RouteKind::Model).then_some(key)
    }

    /// Finds an endpoint by name.
    pub fn endpoint_named(&self, name: &Name) -> Option<EndpointKey> {
        self.endpoint_names.get(name).copied()
    }

    /// Finds the route of the plain service with the longest prefix that matches `path`.
    pub fn service_for_path(&self, path: &str) -> Option<RouteKey> {
        self.routes
            .iter()
            .filter_map(|(key, route)| Some((key, matching_prefix_len(route, path)?)))
            .max_by_key(|(_, prefix_len)| *prefix_len)
            .map(|(key, _)| key)
    }

    /// Returns the link between two regions, if one is published.
    pub fn link(&self, from: RegionKey, to: RegionKey) -> Option<Link> {
        let region = self.regions.get(from)?;
        region.links.iter().find(|link| link.to == to).copied()
    }

    /// Returns all known VMs of `region`, published or not, in no particular order.
    pub fn vms_in(&self, region: RegionKey) -> impl Iterator<Item = VmKey> + '_ {
        self.vms
            .iter()
            .filter(move |(_, vm)| vm.region == region)
            .map(|(key, _)| key)
    }

    /// Returns the VMs of `region` in the published roster, in no particular order.
    pub fn published_vms_in(&self, region: RegionKey) -> impl Iterator<Item = VmKey> + '_ {
        self.vms_in(region).filter(|vm| self.vms[*vm].is_published)
    }

    /// Returns the number of API keys in force.
    pub fn api_key_count(&self) -> usize {
        self.api_keys.len()
    }
}

fn matching_prefix_len(route: &Route, path: &str) -> Option<usize> {
    let RouteKind::Service { path_prefix } = &route.kind else {
        return None;
    };
    let rest = path.strip_prefix(path_prefix.as_str())?;
    let is_whole_segment = rest.is_empty() || rest.starts_with(['/', '?']);
    is_whole_segment.then_some(path_prefix.len())
}
