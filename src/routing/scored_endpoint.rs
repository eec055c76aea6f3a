//! Endpoints that passed the hard filters, with their expected times.

use std::time::Duration;

use super::estimate::expected_first_event;
use super::filters::exclusion;
use super::slots::class_slots;
use super::slots::slot_count;
use super::EndpointLoad;
use super::Explanation;
use super::RouteQuery;
use super::ServiceTimes;
use crate::catalog::Endpoint;
use crate::catalog::EndpointKey;
use crate::catalog::RegionKey;
use crate::clock::Monotonic;

/// An endpoint that passed the hard filters.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScoredEndpoint {
    pub(super) key: EndpointKey,
    pub(super) region: RegionKey,
    /// The expected time to the first event, network time included.
    pub(super) expected: Duration,
    /// Whether this VM may send another request to it now.
    pub(super) has_slot: bool,
}

/// Returns the endpoints that can take the call, and records why the others cannot.
pub(super) fn score(
    now: Monotonic,
    query: &RouteQuery<'_>,
    explanation: &mut Explanation,
) -> Vec<ScoredEndpoint> {
    let sharing = query.sharing();
    let prior = prior(query);
    let mut scored = Vec::new();
    for (key, endpoint) in &query.catalog.endpoints {
        if !endpoint.serves(query.call.route) {
            continue;
        }
        if let Some(exclusion) = exclusion(now, query, key, endpoint) {
            explanation.exclude(key, exclusion);
            continue;
        }
        if let Some(load) = query.loads.get(key) {
            let slots = slot_count(now, load, endpoint, sharing);
            scored.push(score_one(now, query, key, endpoint, load, prior, slots));
        }
    }
    explanation.candidate_count = u32::try_from(scored.len()).unwrap_or(u32::MAX);
    scored
}

fn score_one(
    now: Monotonic,
    query: &RouteQuery<'_>,
    key: EndpointKey,
    endpoint: &Endpoint,
    load: &EndpointLoad,
    prior: ServiceTimes,
    slots: u32,
) -> ScoredEndpoint {
    ScoredEndpoint {
        key,
        region: endpoint.region,
        expected: expected_first_event(now, query, endpoint, load, prior),
        has_slot: load.local_requests() < class_slots(slots, query.class()),
    }
}

/// Returns the mean service times of the route's endpoints that this VM has measured.
fn prior(query: &RouteQuery<'_>) -> ServiceTimes {
    let measured = query
        .catalog
        .endpoints
        .iter()
        .filter(|(_, endpoint)| endpoint.serves(query.call.route))
        .filter_map(|(key, _)| query.loads.get(key)?.service_times());
    ServiceTimes::mean(measured)
}
