//! Builds a catalog from specs, keeping the arena keys of the previous catalog.

use std::collections::HashMap;
use std::collections::HashSet;

use slotmap::Key;
use slotmap::SlotMap;

use super::ApiKeySpec;
use super::AvailabilityZone;
use super::AvailabilityZoneKey;
use super::Catalog;
use super::ClientAccount;
use super::ClientAccountSpec;
use super::Endpoint;
use super::EndpointSpec;
use super::KeyDigest;
use super::Link;
use super::Name;
use super::ObjectSpec;
use super::PlacementRule;
use super::PlacementRuleSpec;
use super::Region;
use super::RegionKey;
use super::RegionShare;
use super::RegionSpec;
use super::Route;
use super::RouteSpec;
use super::TicketNumber;
use super::Vm;
use super::VmSpec;

/// Builds the next [`Catalog`] from the previous one.
///
/// An object with a reference to an unpublished object is omitted and its name returned by
/// [`CatalogBuilder::build`], except that unpublished entries of a list (the regions of an account,
/// the routes of an endpoint, the links of a region) are ignored.
#[derive(Debug)]
pub struct CatalogBuilder {
    catalog: Catalog,
    dangling: Vec<Name>,
    unpublished_vms: HashSet<Name>,
}

impl CatalogBuilder {
    /// Creates a builder that keeps the keys of `previous`.
    pub fn new(previous: &Catalog) -> Self {
        Self {
            catalog: previous.clone(),
            dangling: Vec::new(),
            unpublished_vms: HashSet::new(),
        }
    }

    /// Marks VMs that are not in the published roster.
    #[must_use]
    pub fn with_unpublished_vms(mut self, names: impl Iterator<Item = Name>) -> Self {
        self.unpublished_vms.extend(names);
        self
    }

    /// Builds the catalog of `objects`; also returns the names of those with dangling references.
    pub fn build<'a>(
        mut self,
        ticket: TicketNumber,
        objects: impl Iterator<Item = (&'a Name, &'a ObjectSpec)>,
    ) -> (Catalog, Vec<Name>) {
        let objects: Vec<_> = objects.collect();
        self.catalog.ticket = ticket;
        self.put_regions(&objects);
        self.put_routes(&objects);
        self.put_client_accounts(&objects);
        self.put_located(&objects);
        self.put_api_keys(&objects);
        (self.catalog, self.dangling)
    }

    fn put_regions(&mut self, objects: &[(&Name, &ObjectSpec)]) {
        let specs: Vec<(&Name, &RegionSpec)> = objects
            .iter()
            .filter_map(|(name, spec)| match spec {
                ObjectSpec::Region(spec) => Some((*name, spec)),
                _ => None,
            })
            .collect();
        let catalog = &mut self.catalog;
        let empty = |name: &Name| Region {
            name: name.clone(),
            links: Vec::new(),
        };
        let wanted = specs.iter().map(|(name, _)| (*name, empty(name)));
        sync(&mut catalog.regions, &mut catalog.region_names, wanted);
        for (name, spec) in &specs {
            let links = resolve_links(&catalog.region_names, spec);
            let key = catalog.region_names[*name];
            catalog.regions[key].links = links;
        }
        let zones = specs.iter().flat_map(|(name, spec)| {
            let region = catalog.region_names[*name];
            spec.availability_zones.iter().map(move |zone| {
                let value = AvailabilityZone {
                    name: zone.clone(),
                    region,
                };
                (zone, value)
            })
        });
        sync(
            &mut catalog.availability_zones,
            &mut catalog.availability_zone_names,
            zones,
        );
    }

    fn put_routes(&mut self, objects: &[(&Name, &ObjectSpec)]) {
        let wanted = objects.iter().filter_map(|(name, spec)| match spec {
            ObjectSpec::Route(spec) => Some((*name, route(name, spec))),
            _ => None,
        });
        sync(
            &mut self.catalog.routes,
            &mut self.catalog.route_names,
            wanted,
        );
    }

    fn put_client_accounts(&mut self, objects: &[(&Name, &ObjectSpec)]) {
        let regions = &self.catalog.region_names;
        let wanted: Vec<_> = objects
            .iter()
            .filter_map(|(name, spec)| match spec {
                ObjectSpec::ClientAccount(spec) => Some((*name, account(regions, name, spec))),
                _ => None,
            })
            .collect();
        sync(
            &mut self.catalog.client_accounts,
            &mut self.catalog.client_account_names,
            wanted.into_iter(),
        );
    }

    fn put_located(&mut self, objects: &[(&Name, &ObjectSpec)]) {
        let mut vms = Vec::new();
        let mut endpoints = Vec::new();
        let mut rules = Vec::new();
        for (name, spec) in objects {
            let is_resolved = match spec {
                ObjectSpec::Vm(spec) => push_some(&mut vms, name, self.vm(name, spec)),
                ObjectSpec::Endpoint(spec) => {
                    push_some(&mut endpoints, name, self.endpoint(name, spec))
                }
                ObjectSpec::PlacementRule(spec) => {
                    push_some(&mut rules, name, self.placement_rule(name, spec))
                }
                _ => true,
            };
            if !is_resolved {
                self.dangling.push((*name).clone());
            }
        }
        let catalog = &mut self.catalog;
        sync(&mut catalog.vms, &mut catalog.vm_names, vms.into_iter());
        sync(
            &mut catalog.endpoints,
            &mut catalog.endpoint_names,
            endpoints.into_iter(),
        );
        sync(
            &mut catalog.placement_rules,
            &mut catalog.placement_rule_names,
            rules.into_iter(),
        );
    }

    fn put_api_keys(&mut self, objects: &[(&Name, &ObjectSpec)]) {
        self.catalog.api_keys.clear();
        for (name, spec) in objects {
            if let ObjectSpec::ApiKey(spec) = spec {
                self.put_api_key(name, spec);
            }
        }
    }

    fn put_api_key(&mut self, name: &Name, spec: &ApiKeySpec) {
        let account = self.catalog.client_account_named(&spec.client_account);
        let digest = KeyDigest::from_hex(name.as_str());
        match (account, digest) {
            (Some(account), Ok(digest)) => {
                self.catalog.api_keys.insert(digest, account);
            }
            _ => self.dangling.push(name.clone()),
        }
    }

    fn vm(&self, name: &Name, spec: &VmSpec) -> Option<Vm> {
        let region = self.catalog.region_named(&spec.region)?;
        let availability_zone = self.zone_in(region, &spec.availability_zone)?;
        Some(Vm {
            name: name.clone(),
            region,
            availability_zone,
            caller_address: spec.caller_address,
            peer_address: spec.peer_address,
            operator_address: spec.operator_address,
            state: spec.state,
            is_published: !self.unpublished_vms.contains(name),
        })
    }

    fn endpoint(&self, name: &Name, spec: &EndpointSpec) -> Option<Endpoint> {
        let region = self.catalog.region_named(&spec.region)?;
        let availability_zone = self.zone_in(region, &spec.availability_zone)?;
        let routes = spec
            .routes
            .iter()
            .filter_map(|route| self.catalog.route_named(route))
            .collect();
        Some(Endpoint {
            name: name.clone(),
            kind: spec.kind,
            role: spec.role,
            address: spec.address,
            region,
            availability_zone,
            routes,
            state: spec.state,
            concurrency: spec.concurrency,
            checks_fencing: spec.checks_fencing,
        })
    }

    fn placement_rule(&self, name: &Name, spec: &PlacementRuleSpec) -> Option<PlacementRule> {
        Some(PlacementRule {
            name: name.clone(),
            route: self.catalog.route_named(&spec.route)?,
            region: self.catalog.region_named(&spec.region)?,
            version: spec.version.clone(),
            engine_count: spec.engine_count,
        })
    }

    fn zone_in(&self, region: RegionKey, name: &Name) -> Option<AvailabilityZoneKey> {
        let key = self.catalog.availability_zone_named(name)?;
        let zone = &self.catalog.availability_zones[key];
        (zone.region == region).then_some(key)
    }
}

fn resolve_links(regions: &HashMap<Name, RegionKey>, spec: &RegionSpec) -> Vec<Link> {
    spec.links
        .iter()
        .filter_map(|link| {
            Some(Link {
                to: *regions.get(&link.to)?,
                one_way_us: link.one_way_us,
                bandwidth_bits_per_s: link.bandwidth_bits_per_s,
            })
        })
        .collect()
}

fn route(name: &Name, spec: &RouteSpec) -> Route {
    Route {
        name: name.clone(),
        kind: spec.kind.clone(),
        is_open: spec.is_open,
        class: spec.class,
        repeatability: spec.repeatability,
        deadline_ms: spec.deadline_ms,
        first_event_timeout_ms: spec.first_event_timeout_ms,
        silence_timeout_ms: spec.silence_timeout_ms,
        answer_max_tokens: spec.answer_max_tokens,
        call_cost_tokens: spec.call_cost_tokens,
    }
}

fn account(
    regions: &HashMap<Name, RegionKey>,
    name: &Name,
    spec: &ClientAccountSpec,
) -> ClientAccount {
    let allowed_regions = spec
        .allowed_regions
        .iter()
        .filter_map(|region| regions.get(region).copied())
        .collect();
    let region_shares = spec
        .region_shares
        .iter()
        .filter_map(|share| {
            Some(RegionShare {
                region: *regions.get(&share.region)?,
                weight: share.weight,
            })
        })
        .collect();
    ClientAccount {
        name: name.clone(),
        allowed_regions,
        rate_tokens_per_s: spec.rate_tokens_per_s,
        burst_tokens: spec.burst_tokens,
        weight: spec.weight,
        region_shares,
    }
}

/// Replaces the values of an arena by `wanted`; a name that was there before keeps its key.
fn sync<'a, K: Key, V>(
    arena: &mut SlotMap<K, V>,
    names: &mut HashMap<Name, K>,
    wanted: impl Iterator<Item = (&'a Name, V)>,
) {
    let mut kept = HashSet::new();
    for (name, value) in wanted {
        kept.insert(name.clone());
        match names.get(name) {
            Some(key) => arena[*key] = value,
            None => {
                let key = arena.insert(value);
                names.insert(name.clone(), key);
            }
        }
    }
    names.retain(|name, _| kept.contains(name));
    let live: HashSet<K> = names.values().copied().collect();
    arena.retain(|key, _| live.contains(&key));
}

fn push_some<'a, V>(values: &mut Vec<(&'a Name, V)>, name: &'a Name, value: Option<V>) -> bool {
    let Some(value) = value else {
        return false;
    };
    values.push((name, value));
    true
}
