//! The endpoints of the local region and the choice among them.

use std::collections::HashMap;
use std::time::Duration;

use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::endpoint_notice::EndpointNotices;
use super::endpoint_sample::draw_sample;
use super::listing_run::ListingRun;
use super::peer_backlogs::PeerBacklogs;
use super::possible_restart::PossibleRestart;
use super::prefill_rate::PrefillRate;
use super::zone_evacuations::ZoneEvacuations;
use super::EndpointKey;
use super::EndpointState;
use super::NoPlacement;
use super::Placement;
use super::PlacementQuery;
use super::PrefixOwner;
use crate::catalog::Name;
use crate::clock::Monotonic;
use crate::deployment::Deployment;
use crate::deployment::EndpointListing;
use crate::deployment::EndpointPhase;
use crate::deployment::EndpointRecord;
use crate::deployment::InstanceId;
use crate::deployment::RegionKey;
use crate::deployment::SoftwareVersion;
use crate::deployment::Topology;
use crate::deployment::ZoneKey;
use crate::fleet::EndpointLoad;
use crate::fleet::RateShare;
use crate::fleet::RateSharers;

/// The time to prefill what is pending from which on an endpoint counts as busy, in milliseconds:
/// longer than most prompts take.
const QUEUE_BUSY_MS: f64 = 100.0;

/// The penalty of an endpoint in another availability zone, in milliseconds: traffic between zones
/// costs money, and its latency is about a millisecond higher.
const OTHER_ZONE_PENALTY_MS: f64 = 4.0;

/// The age of a record in the listing: a heartbeat.
const RECORD_AGE_MAX: Duration = Duration::from_millis(1_200);

/// The endpoints of the local region, and where else their services run.
///
/// Placement has prefix affinity, for loads in which prompts share long prefixes: all VMs send
/// requests with the same first part to the same endpoint (rendezvous hashing, Thaler and
/// Ravishankar, 1998), until the expected time there exceeds that of another endpoint that has to
/// prefill the shared prefix.
#[derive(Debug)]
pub struct EndpointTable {
    region: RegionKey,
    zone: ZoneKey,
    pub(super) endpoints: SlotMap<EndpointKey, EndpointState>,
    pub(super) by_instance: HashMap<InstanceId, EndpointKey>,
    pub(super) by_service: HashMap<Name, Vec<EndpointKey>>,
    remote: HashMap<Name, Vec<RemoteEndpoint>>,
    evacuations: ZoneEvacuations,
    pub(super) listing_run: ListingRun,
    pub(super) notices: EndpointNotices,
    pub(super) peer_backlogs: PeerBacklogs,
    pub(super) prefill_rates: HashMap<Name, PrefillRate>,
    pub(super) published_loads: HashMap<Name, Vec<EndpointLoad>>,
}

/// An endpoint of another region that accepts requests.
#[derive(Clone, Debug)]
struct RemoteEndpoint {
    instance: InstanceId,
    region: RegionKey,
    version: Option<SoftwareVersion>,
}

impl EndpointTable {
    /// Creates an empty table for a VM in the given region and zone.
    pub fn new(region: RegionKey, zone: ZoneKey) -> Self {
        Self {
            region,
            zone,
            endpoints: SlotMap::with_key(),
            by_instance: HashMap::new(),
            by_service: HashMap::new(),
            remote: HashMap::new(),
            evacuations: ZoneEvacuations::default(),
            listing_run: ListingRun::default(),
            notices: EndpointNotices::default(),
            peer_backlogs: PeerBacklogs::default(),
            prefill_rates: HashMap::new(),
            published_loads: HashMap::new(),
        }
    }

    /// Returns an endpoint, or `None` once it is no longer listed.
    pub fn get(&self, key: EndpointKey) -> Option<&EndpointState> {
        self.endpoints.get(key)
    }

    /// Returns an endpoint instance, or `None` once it is no longer listed.
    pub fn get_instance(&self, instance: &InstanceId) -> Option<&EndpointState> {
        let key = self.by_instance.get(instance)?;
        self.endpoints.get(*key)
    }

    /// Applies a listing; returns the endpoints that it no longer contains, which are removed.
    pub fn update(
        &mut self,
        now: Monotonic,
        listing: &EndpointListing,
        deployment: Option<&Deployment>,
        topology: &Topology,
    ) -> Vec<EndpointKey> {
        for state in self.endpoints.values_mut() {
            state.is_listed = false;
        }
        self.remote.clear();
        self.evacuations.update(now, &listing.evacuated);
        for record in &listing.endpoints {
            let region = topology.region_of(record.zone);
            let is_evacuated = listing.evacuated.contains(&record.zone);
            if region == self.region {
                let cold_start = deployment
                    .map(|deployment| deployment.cold_start(&record.service))
                    .unwrap_or_default();
                self.update_one(now, record, is_evacuated, cold_start);
            } else if !is_evacuated && record.phase == EndpointPhase::Ready {
                let instance = record.instance.clone();
                let endpoints = self.remote.entry(record.service.clone());
                endpoints.or_default().push(RemoteEndpoint {
                    instance,
                    region,
                    version: record.version,
                });
            }
        }
        self.notices.remove_expired(now);
        self.remove_unlisted()
    }

    fn update_one(
        &mut self,
        now: Monotonic,
        record: &EndpointRecord,
        is_evacuated: bool,
        cold_start: Duration,
    ) {
        let key = match self.by_instance.get(&record.instance) {
            Some(key) => *key,
            None => {
                let notice = self.notices.get(&record.instance);
                let mut state = EndpointState::new(now, record.clone(), notice);
                state.possible_restart = self.restart_since_listing(&record.instance);
                let key = self.endpoints.insert(state);
                self.by_instance.insert(record.instance.clone(), key);
                let service = self.by_service.entry(record.service.clone());
                service.or_default().push(key);
                key
            }
        };
        let Some(state) = self.endpoints.get_mut(key) else {
            return;
        };
        state.is_listed = true;
        if let Some(ended_at) = self.evacuations.ended_at(record.zone) {
            // An endpoint without traffic for a time is cold, whatever its record says.
            state.cold_until = state.cold_until.max(ended_at + cold_start);
        }
        state.is_evacuated = is_evacuated;
        state.cold_start = cold_start;
        if !record.cold_remaining.is_zero() {
            state.cold_until = state.cold_until.max(now + record.cold_remaining);
        }
        state.record = record.clone();
    }

    /// Returns the end of a process with the identifier of an instance that may be the one of the instance
    /// itself, as its record may be older than the end.
    fn restart_since_listing(&self, instance: &InstanceId) -> PossibleRestart {
        let mut states = self.endpoints.values();
        let before = states.find(|state| state.record.instance.id == instance.id);
        let restart = before.map(|state| state.possible_restart);
        let restart = restart.filter(|restart| {
            let end = restart.end();
            end.is_some_and(|end| end.at + RECORD_AGE_MAX > self.listing_run.confirmed_at)
        });
        restart.unwrap_or_default()
    }

    fn remove_unlisted(&mut self) -> Vec<EndpointKey> {
        let unlisted = self.endpoints.iter().filter(|(_, state)| !state.is_listed);
        let unlisted: Vec<EndpointKey> = unlisted.map(|(key, _)| key).collect();
        for key in &unlisted {
            let Some(state) = self.endpoints.remove(*key) else {
                continue;
            };
            self.by_instance.remove(&state.record.instance);
            if let Some(keys) = self.by_service.get_mut(&state.record.service) {
                keys.retain(|other| other != key);
            }
        }
        unlisted
    }

    /// Returns whether an endpoint of a service accepts requests in the local region.
    pub fn serves(&self, service: &Name) -> bool {
        self.of_service(service)
            .any(|(_, state)| state.takes_requests())
    }

    /// Returns the shortest expected wait of a request without a prompt, in milliseconds.
    ///
    /// Returns `None` if no endpoint of the service accepts requests here.
    pub fn shortest_wait_ms(&self, now: Monotonic, service: &Name) -> Option<f64> {
        let rate = self.prefill_rate(service);
        self.of_service(service)
            .filter(|(_, state)| state.takes_requests() && state.backoff(now, false).is_none())
            .map(|(_, state)| {
                let peers = self.peer_backlogs.at(state.hash);
                let queue_ms = rate.prefill_ms(state.ahead_tokens(peers, LEAST_URGENT));
                let wait_ms = state.expected_ms(now, queue_ms, 0.0, LEAST_URGENT);
                wait_ms + state.named_interval_ms()
            })
            .min_by(f64::total_cmp)
    }

    /// Returns the expected time to prefill a prompt at an idle endpoint, in milliseconds.
    pub fn prefill_ms(&self, service: &Name, tokens: u64) -> f64 {
        self.prefill_rate(service).prefill_ms(tokens)
    }

    fn prefill_rate(&self, service: &Name) -> PrefillRate {
        self.prefill_rates.get(service).copied().unwrap_or_default()
    }

    pub(super) fn of_service<'a>(
        &'a self,
        service: &Name,
    ) -> impl Iterator<Item = (EndpointKey, &'a EndpointState)> {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter_map(|key| Some((*key, self.endpoints.get(*key)?)))
    }

    /// Chooses the endpoint with the lowest expected time to the first event.
    ///
    /// `share` returns, for the rendezvous key of an instance and the VMs that are to share its rate, the
    /// part of this VM; `None` if it has none. A `cold_rate_per_s` of zero lifts the limit on cold
    /// endpoints.
    ///
    /// # Errors
    ///
    /// Returns a [`NoPlacement`] if no endpoint can accept the request now.
    pub fn choose(
        &mut self,
        now: Monotonic,
        query: &PlacementQuery<'_>,
        cold_rate_per_s: f64,
        share: impl Fn(u64, RateSharers) -> Option<RateShare>,
    ) -> Result<Placement, NoPlacement> {
        let keys = self.candidates(now, query);
        let rate = self.prefill_rate(query.service);
        let mut best: Option<Placement> = None;
        let mut reason = NoPlacement::NoneListed;
        for key in keys {
            let Some(state) = self.endpoints.get_mut(key) else {
                continue;
            };
            if !state.takes(now, query) {
                continue;
            }
            if let Some(retry_after) = state.unavailable_for(now, key, query) {
                reason = reason.sooner(NoPlacement::NoneTrusted { retry_after });
                continue;
            }
            if let Some(retry_after) = state.limited_for(now, cold_rate_per_s, &share) {
                reason = reason.sooner(NoPlacement::AllLimited { retry_after });
                continue;
            }
            let prefill_tokens = query.prefill_tokens_at(key);
            let penalty_ms = state.confirmation_ms(now, query)
                + match state.record.zone == self.zone {
                    true => 0.0,
                    false => OTHER_ZONE_PENALTY_MS,
                };
            let peers = self.peer_backlogs.at(state.hash);
            let ahead_tokens = state.ahead_tokens(peers, query.priority);
            let prefill_ms = rate.prefill_ms(prefill_tokens);
            let queue_ms = rate.prefill_ms(ahead_tokens);
            let expected_ms =
                state.expected_ms(now, queue_ms, prefill_ms, query.priority) + penalty_ms;
            if best.is_none_or(|best| expected_ms < best.expected_ms) {
                best = Some(Placement {
                    endpoint: key,
                    expected_ms,
                    prefill_tokens,
                    queued_tokens: ahead_tokens + prefill_tokens,
                    prefill_ms,
                    priority: query.priority,
                    chosen_at: now,
                    is_busy: state.is_busy(now) || queue_ms > QUEUE_BUSY_MS,
                });
            }
        }
        best.ok_or(reason)
    }

    /// Returns the endpoints that are compared for a request.
    fn candidates(&self, now: Monotonic, query: &PlacementQuery<'_>) -> Vec<EndpointKey> {
        let available = self.of_service(query.service).filter(|(key, state)| {
            state.takes(now, query)
                && !state.is_limited(now)
                && state.unavailable_for(now, *key, query).is_none()
        });
        let Some(mut drawn) = draw_sample(available.map(|(key, _)| key), query.draw) else {
            return self
                .by_service
                .get(query.service)
                .cloned()
                .unwrap_or_default();
        };
        // Without requests, the end of a rate would not be observed.
        let limited = self.of_service(query.service);
        let limited = limited.filter(|(_, state)| state.named_rate.in_force().is_some());
        drawn.extend(limited.map(|(key, _)| key));
        drawn.extend(query.prefix_endpoint);
        drawn.extend(query.prefix_replica);
        drawn
    }

    /// Returns the endpoint that requests with a given prompt prefix prefer.
    ///
    /// `is_reachable` returns whether the endpoints of another region may be used.
    pub fn prefix_owner(
        &self,
        now: Monotonic,
        service: &Name,
        prefix_hash: u64,
        is_reachable: impl Fn(RegionKey) -> bool,
    ) -> Option<PrefixOwner> {
        let local = self
            .of_service(service)
            .filter(|(_, state)| state.takes_requests() && !state.is_limited(now))
            .map(|(key, state)| (&state.record.instance, PrefixOwner::Local(key)));
        let remote = self.remote.get(service).into_iter().flatten();
        let others = remote
            .filter(|endpoint| is_reachable(endpoint.region))
            .map(|endpoint| (&endpoint.instance, PrefixOwner::Remote(endpoint.region)));
        local
            .chain(others)
            .max_by_key(|(instance, _)| instance_score(instance, prefix_hash))
            .map(|(_, owner)| owner)
    }

    /// Returns the endpoint of the local region that takes the requests with a given prefix that
    /// `owner` cannot take: the next one in the order by which owners are chosen.
    pub fn prefix_replica(
        &self,
        now: Monotonic,
        service: &Name,
        prefix_hash: u64,
        owner: Option<PrefixOwner>,
    ) -> Option<EndpointKey> {
        let owner = owner.and_then(PrefixOwner::local);
        self.of_service(service)
            .filter(|(key, state)| {
                Some(*key) != owner && state.takes_requests() && !state.is_limited(now)
            })
            .max_by_key(|(_, state)| instance_score(&state.record.instance, prefix_hash))
            .map(|(key, _)| key)
    }

    /// Returns whether an endpoint of a service accepts requests in another region, at a software version
    /// if one is given.
    pub fn is_served_in(
        &self,
        service: &Name,
        region: RegionKey,
        version: Option<SoftwareVersion>,
    ) -> bool {
        let remote = self.remote.get(service).into_iter().flatten();
        remote
            .filter(|endpoint| version.is_none() || endpoint.version == version)
            .any(|endpoint| endpoint.region == region)
    }
}

/// The priority whose expected wait is published to other regions: it waits for all others.
const LEAST_URGENT: u8 = u8::MAX;

fn instance_score(instance: &InstanceId, prefix_hash: u64) -> u64 {
    xxh3_64_with_seed(instance.id.as_str().as_bytes(), prefix_hash)
}
