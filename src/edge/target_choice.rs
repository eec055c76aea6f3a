//! Chooses the destination of a request's next attempt.

use std::cell::LazyCell;
use std::time::Duration;

use rand::RngExt;

use super::attempt::Target;
use super::attempts::Attempts;
use super::Refusal;
use super::RefusalKind;
use crate::clock::Monotonic;
use crate::deployment::RegionKey;
use crate::fleet::NameHash;
use crate::placement::choose_region;
use crate::placement::overload_retry_after;
use crate::placement::EndpointKey;
use crate::placement::EndpointState;
use crate::placement::NoPlacement;
use crate::placement::OverloadQuery;
use crate::placement::Placement;
use crate::placement::PlacementQuery;
use crate::placement::PrefixOwner;
use crate::placement::RegionChoice;
use crate::placement::RegionOption;
use crate::placement::VersionConstraint;
use crate::placement::PREFILL_MS_PER_TOKEN;

/// The round-trip time assumed for a region before one was measured.
const ROUND_TRIP_UNKNOWN_MS: f64 = 150.0;

/// The round-trip time assumed within a region before one was measured.
const LOCAL_ROUND_TRIP_UNKNOWN_MS: f64 = 2.0;

/// The wait assumed for another region whose VMs report none.
const WAIT_UNKNOWN_MS: f64 = 60.0;

impl Attempts {
    /// Chooses the target of the next attempt.
    pub(super) fn choose(&self, now: Monotonic) -> Result<Target, Refusal> {
        let prefix_owner = self.prefix_owner(now);
        let others = self.forward_regions(now, prefix_owner);
        let local = match self.leaves_endpoints_alone(&others) {
            true => Err(NoPlacement::NoneListed),
            false => self.local_placement(now, prefix_owner),
        };
        let local_ms = local.as_ref().ok().map(|placement| placement.expected_ms);
        let target_ms = milliseconds(self.request.route.target_latency);
        let draw = self.state.rng.borrow_mut().random();
        match (choose_region(local_ms, others, target_ms, draw), local) {
            (RegionChoice::Local, Ok(placement)) => {
                self.check_overload(now, &placement, target_ms)?;
                Ok(self.endpoint_target(placement, prefix_owner))
            }
            (RegionChoice::Remote(region), _) => self.vm_target(now, region),
            (_, Err(NoPlacement::NoneTrusted { .. })) => self.avoided_endpoint(now, prefix_owner),
            (_, Err(reason)) => Err(self.no_endpoint_refusal(reason)),
            (RegionChoice::None, Ok(_)) => Err(self.no_endpoint_refusal(NoPlacement::NoneListed)),
        }
    }

    /// Returns whether the endpoints of the region must not be tried, as this VM does not reach them.
    ///
    /// They are tried if there is no other way; a request of another VM has one, as that VM finds another
    /// taker, unless the endpoints are only silent, as sound ones may be.
    fn leaves_endpoints_alone(&self, others: &[RegionOption]) -> bool {
        let reach = self.state.reach.borrow();
        let has_other_taker = self.request.forwarded.is_some() && reach.is_unreachable();
        reach.is_cut_off() && (!others.is_empty() || has_other_taker)
    }

    /// Returns whether the next attempt would find a target.
    pub(super) fn has_alternative(&self, now: Monotonic) -> bool {
        let prefix_owner = self.prefix_owner(now);
        self.local_placement(now, prefix_owner).is_ok()
            || !self.forward_regions(now, prefix_owner).is_empty()
    }

    /// Checks that the answer would not be late; one that continues a stream is, at the deadline.
    fn check_overload(
        &self,
        now: Monotonic,
        placement: &Placement,
        target_ms: f64,
    ) -> Result<(), Refusal> {
        if self.ran_count > 0 {
            return Ok(());
        }
        let query = OverloadQuery {
            expected_ms: placement.expected_ms,
            target_ms: match self.continues_stream() {
                true => milliseconds(self.request.time_left(now)),
                false => target_ms,
            },
            is_busy: placement.is_busy,
        };
        match overload_retry_after(&query) {
            None => Ok(()),
            Some(retry_after) => Err(self.refusal(RefusalKind::Overloaded, retry_after)),
        }
    }

    /// Returns where the shared prefix of the prompt is cached.
    ///
    /// A prefix that takes longer to prefill than a round trip to another region is cached once for
    /// all regions, a shorter one once in each region.
    fn prefix_owner(&self, now: Monotonic) -> Option<PrefixOwner> {
        let prefix_hash = self.request.head.prefix.affinity_key()?;
        let prefill_ms = self.request.head.prefix.tokens() as f64 * PREFILL_MS_PER_TOKEN;
        let is_shared_across_regions = prefill_ms > ROUND_TRIP_UNKNOWN_MS;
        let endpoints = self.state.endpoints.borrow();
        let fleet = self.state.fleet.borrow();
        endpoints.prefix_owner(now, &self.request.service.name, prefix_hash, |region| {
            is_shared_across_regions
                && self.allows(region)
                && !fleet.ready_in(now, region).is_empty()
        })
    }

    fn prefix_replica(
        &self,
        now: Monotonic,
        prefix_owner: Option<PrefixOwner>,
    ) -> Option<EndpointKey> {
        let key = self.request.head.prefix.affinity_key()?;
        let endpoints = self.state.endpoints.borrow();
        endpoints.prefix_replica(now, &self.request.service.name, key, prefix_owner)
    }

    fn no_endpoint_refusal(&self, reason: NoPlacement) -> Refusal {
        if self.ran_count > 0 {
            return Refusal::new(RefusalKind::Failed);
        }
        log::info!(
            request = &*self.request.head.request_id,
            service = self.request.service.name.as_str(),
            route = self.request.route.name.as_str(),
            reason:? = reason,
            tried = self.tried.endpoints().len(),
            tried_regions = self.tried.regions().len();
            "no endpoint available"
        );
        Refusal {
            is_unsent: self.arrived_count == 0,
            ..self.refusal(RefusalKind::NoEndpoint, reason.retry_after())
        }
    }

    /// Chooses an endpoint that recently refused a request or was silent, if no other is left in any
    /// region.
    fn avoided_endpoint(
        &self,
        now: Monotonic,
        prefix_owner: Option<PrefixOwner>,
    ) -> Result<Target, Refusal> {
        let query = PlacementQuery {
            accepts_avoided: true,
            ..self.query(now, prefix_owner)
        };
        match self.place(now, &query) {
            Ok(placement) => Ok(self.endpoint_target(placement, prefix_owner)),
            Err(reason) => Err(self.no_endpoint_refusal(reason)),
        }
    }

    fn query(&self, now: Monotonic, prefix_owner: Option<PrefixOwner>) -> PlacementQuery<'_> {
        let fleet = self.state.fleet.borrow();
        let others = fleet.alive_in(now, true).filter(|row| !row.is_cut_off);
        let local_vm_count = others.count() + 1;
        drop(fleet);
        let local_vm_count = u32::try_from(local_vm_count).unwrap_or(u32::MAX);
        PlacementQuery {
            service: &self.request.service.name,
            prompt_tokens: self.request.head.prompt_tokens,
            prefix_tokens: self.request.head.prefix.tokens(),
            prefix_endpoint: prefix_owner.and_then(PrefixOwner::local),
            prefix_replica: self.prefix_replica(now, prefix_owner),
            priority: self.request.rank,
            local_vm_count,
            version: self.version_constraint(),
            tried: self.tried.endpoints(),
            local_requests_max: (self.request.service.connections_max / local_vm_count).max(1),
            accepts_avoided: false,
            draw: self.state.rng.borrow_mut().random(),
        }
    }

    fn version_constraint(&self) -> Option<VersionConstraint> {
        let confirmed_at = self.state.belief.borrow().listing_confirmed_at();
        self.version.map(|version| VersionConstraint {
            version,
            listing_confirmed_at: confirmed_at.unwrap_or_default(),
        })
    }

    fn local_placement(
        &self,
        now: Monotonic,
        prefix_owner: Option<PrefixOwner>,
    ) -> Result<Placement, NoPlacement> {
        if !self.allows(self.state.settings.region) {
            return Err(NoPlacement::NoneListed);
        }
        self.place(now, &self.query(now, prefix_owner))
    }

    fn place(&self, now: Monotonic, query: &PlacementQuery<'_>) -> Result<Placement, NoPlacement> {
        let fleet = self.state.fleet.borrow();
        let cold_rate_per_s = self.request.service.cold_rate_per_s;
        let mut endpoints = self.state.endpoints.borrow_mut();
        let load = LazyCell::new(|| fleet.known_load(now, NameHash::from(query.service)));
        endpoints.choose(now, query, cold_rate_per_s, |rendezvous_key, sharers| {
            fleet.rate_share(now, rendezvous_key, sharers, *load)
        })
    }

    fn endpoint_target(&self, placement: Placement, prefix_owner: Option<PrefixOwner>) -> Target {
        let endpoints = self.state.endpoints.borrow();
        let endpoint = endpoints
            .get(placement.endpoint)
            .expect("the endpoint was just chosen");
        if endpoint.is_limited(placement.chosen_at) {
            self.log_limited(placement.chosen_at, endpoint);
        }
        let record = endpoint.record();
        let confirmed_at = self.state.belief.borrow().listing_confirmed_at();
        Target::Endpoint {
            placement,
            address: record.address,
            instance: record.instance.clone(),
            version: endpoint
                .software_version(placement.chosen_at, confirmed_at.unwrap_or_default()),
            copy_prefix_from: prefix_owner
                .and_then(PrefixOwner::local)
                .filter(|key| *key != placement.endpoint && self.request.head.prefix.tokens() > 0)
                .and_then(|key| endpoints.get(key))
                .map(|state| state.record().address),
        }
    }

    /// Logs a request to an endpoint whose rate VMs share, with the view by which this VM shares it.
    fn log_limited(&self, now: Monotonic, endpoint: &EndpointState) {
        let fleet = self.state.fleet.borrow();
        let load = fleet.known_load(now, NameHash::from(&self.request.service.name));
        log::info!(
            request = &*self.request.head.request_id,
            to = endpoint.record().instance.id.as_str(),
            is_cold = endpoint.is_cold(now),
            known_vms = fleet.known_in_region_count(),
            alive_vms = fleet.alive_in(now, true).count() + 1,
            load:? = load,
            listing_age_ms = self.state.belief.borrow().listing_age_ms(now);
            "a request for an endpoint whose rate the VMs share"
        );
    }

    /// Returns the regions to one of whose VMs the request may be forwarded; the local region is among them
    /// only if this VM does not reach its endpoints.
    fn forward_regions(
        &self,
        now: Monotonic,
        prefix_owner: Option<PrefixOwner>,
    ) -> Vec<RegionOption> {
        if self.request.forwarded.is_some() {
            return Vec::new();
        }
        let topology = &self.state.settings.topology;
        let endpoints = self.state.endpoints.borrow();
        let local_region = self.state.settings.region;
        let needs_others = self.state.reach.borrow().is_cut_off()
            || endpoints.is_out_of_reach(now, &self.request.service.name, self.version);
        let regions = topology.regions().filter(|region| {
            let service = &self.request.service.name;
            let is_served = match *region == local_region {
                true => needs_others && endpoints.serves_version(service, self.version),
                false => {
                    !self.tried.regions().contains(region)
                        && endpoints.is_served_in(service, *region, self.version)
                }
            };
            is_served && self.allows(*region)
        });
        let fleet = self.state.fleet.borrow();
        let query = self.query(now, prefix_owner);
        let mut rng = self.state.rng.borrow_mut();
        let service = NameHash::from(&self.request.service.name);
        let options = regions.filter_map(|region| {
            let (_, round_trip_ms) =
                fleet.forward_target(now, region, service, self.tried.vms(), &mut *rng)?;
            let wait_ms = fleet.wait_in(now, region, service);
            let has_prefix = prefix_owner == Some(PrefixOwner::Remote(region));
            let prefill_tokens = query.prefill_tokens(has_prefix);
            Some(RegionOption {
                region,
                expected_ms: round_trip_ms.unwrap_or(match region == local_region {
                    true => LOCAL_ROUND_TRIP_UNKNOWN_MS,
                    false => ROUND_TRIP_UNKNOWN_MS,
                }) + wait_ms.map_or(WAIT_UNKNOWN_MS, f64::from)
                    + endpoints.prefill_ms(&self.request.service.name, prefill_tokens),
                has_prefix,
            })
        });
        options.collect()
    }

    fn vm_target(&self, now: Monotonic, region: RegionKey) -> Result<Target, Refusal> {
        let fleet = self.state.fleet.borrow();
        let mut rng = self.state.rng.borrow_mut();
        let service = NameHash::from(&self.request.service.name);
        let (ip, _) = fleet
            .forward_target(now, region, service, self.tried.vms(), &mut *rng)
            .ok_or_else(|| self.no_endpoint_refusal(NoPlacement::NoneListed))?;
        // One attempt is reserved for the case that the VM fails while it serves the request.
        let left = self.request.attempts_max().saturating_sub(self.ran_count);
        Ok(Target::Vm {
            ip,
            attempts_max: left.saturating_sub(1).max(1),
        })
    }
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
