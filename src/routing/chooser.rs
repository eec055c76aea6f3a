//! Chooses region, VM and endpoint for a request.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use super::attempt::prefix_hashes;
use super::estimate::network_time;
use super::filters::serving_vms;
use super::scored_endpoint::score;
use super::scored_endpoint::ScoredEndpoint;
use super::Exclusion;
use super::Explanation;
use super::Health;
use super::RouteChoice;
use super::RouteDecision;
use super::RouteQuery;
use super::RouteRefusal;
use crate::catalog::RegionKey;
use crate::catalog::VmKey;
use crate::catalog::WorkClass;
use crate::clock::Monotonic;
use crate::membership::rendezvous_score;

const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(2);
const CROSSING_MARGIN_SHORT: Duration = Duration::from_millis(100);
const CROSSING_MARGIN_LONG: Duration = Duration::from_secs(1);

/// One way that a call can go.
#[derive(Clone, Copy, Debug)]
struct Way {
    choice: RouteChoice,
    network_time: Duration,
    expected: Duration,
}

/// Chooses where a call goes: to an endpoint of the own region or to a VM of another one.
///
/// Two choices at random keep VMs with the same lagging reports from all taking the same endpoint
/// (Mitzenmacher, 2001). The endpoint that the prompt's prefix hashes to is the third choice; the
/// time that is expected there bounds its load.
///
/// # Errors
///
/// Returns a [`RouteRefusal`] if the hard filters leave no endpoint; the call did not run.
pub fn choose(
    now: Monotonic,
    query: &RouteQuery<'_>,
    rng: &mut impl Rng,
) -> Result<RouteDecision, RouteRefusal> {
    let mut explanation = Explanation::default();
    let scored = score(now, query, &mut explanation);
    let local_region = query.local_region();
    let (local, remote): (Vec<ScoredEndpoint>, Vec<ScoredEndpoint>) = scored
        .into_iter()
        .partition(|endpoint| Some(endpoint.region) == local_region);
    let local = local_way(query, &local, rng);
    let remote = remote_way(query, &remote, rng);
    let way = match (local, remote) {
        (Some(local), Some(remote)) if is_worth_crossing(query, &local, &remote) => remote,
        (Some(local), _) => local,
        (None, Some(remote)) => remote,
        (None, None) => return Err(refusal(now, query, explanation)),
    };
    Ok(RouteDecision {
        choice: way.choice,
        network_time: way.network_time,
        expected_first_event: way.expected,
        explanation,
    })
}

/// Tells whether a request is to cross, which costs bandwidth between the regions.
fn is_worth_crossing(query: &RouteQuery<'_>, local: &Way, remote: &Way) -> bool {
    let margin = match query.class() {
        WorkClass::Interactive => CROSSING_MARGIN_SHORT,
        WorkClass::Long => CROSSING_MARGIN_LONG,
    };
    remote.expected + margin < local.expected
}

/// Returns the way to an endpoint of the own region with a free slot, or to the queue if there is
/// none.
fn local_way(
    query: &RouteQuery<'_>,
    endpoints: &[ScoredEndpoint],
    rng: &mut impl Rng,
) -> Option<Way> {
    let free: Vec<ScoredEndpoint> = endpoints
        .iter()
        .filter(|endpoint| endpoint.has_slot)
        .copied()
        .collect();
    if let Some(best) = pick(query, &free, rng) {
        return Some(Way {
            choice: RouteChoice::Local(best.key),
            network_time: Duration::ZERO,
            expected: best.expected,
        });
    }
    let soonest = endpoints.iter().map(|endpoint| endpoint.expected).min()?;
    Some(Way {
        choice: RouteChoice::Queue,
        network_time: Duration::ZERO,
        expected: soonest + query.queue_wait,
    })
}

fn remote_way(
    query: &RouteQuery<'_>,
    endpoints: &[ScoredEndpoint],
    rng: &mut impl Rng,
) -> Option<Way> {
    let best = pick(query, endpoints, rng)?;
    let choice = RouteChoice::Forward {
        vm: pick_vm(query, best.region, rng)?,
        region: best.region,
        preferred_endpoint: best.key,
    };
    Some(Way {
        choice,
        network_time: network_time(query, best.region),
        expected: best.expected,
    })
}

fn pick(
    query: &RouteQuery<'_>,
    endpoints: &[ScoredEndpoint],
    rng: &mut impl Rng,
) -> Option<ScoredEndpoint> {
    if endpoints.is_empty() {
        return None;
    }
    let first = endpoints[rng.random_range(0..endpoints.len())];
    let second = endpoints[rng.random_range(0..endpoints.len())];
    let random = if second.expected < first.expected {
        second
    } else {
        first
    };
    match affine(query, endpoints) {
        Some(affine) if affine.expected <= random.expected => Some(affine),
        _ => Some(random),
    }
}

/// Returns the endpoint that the prompt's first prefix hashes to, by rendezvous.
///
/// VMs that decide apart send the prompts of one prefix to the same endpoint, so its cache serves
/// them all.
fn affine(query: &RouteQuery<'_>, endpoints: &[ScoredEndpoint]) -> Option<ScoredEndpoint> {
    let prefix = *prefix_hashes(query.call).first()?;
    let home = endpoints.iter().max_by_key(|endpoint| {
        let endpoint = &query.catalog.endpoints[endpoint.key];
        rendezvous_score(prefix, &endpoint.name)
    })?;
    Some(*home)
}

fn pick_vm(query: &RouteQuery<'_>, region: RegionKey, rng: &mut impl Rng) -> Option<VmKey> {
    let vms: Vec<VmKey> = serving_vms(query, region).collect();
    if vms.is_empty() {
        return None;
    }
    let first = vms[rng.random_range(0..vms.len())];
    let second = vms[rng.random_range(0..vms.len())];
    let load = |vm: VmKey| query.view.vms.get(vm).map(|vm| vm.load_permille);
    Some(if load(second) < load(first) {
        second
    } else {
        first
    })
}

fn refusal(now: Monotonic, query: &RouteQuery<'_>, explanation: Explanation) -> RouteRefusal {
    let back_at = explanation
        .excluded_endpoints
        .iter()
        .filter(|note| note.exclusion == Exclusion::CoolingDown)
        .filter_map(|note| query.loads.get(note.endpoint))
        .filter_map(|load| match load.health(now) {
            Health::CoolingDown { until } => Some(until),
            Health::Up | Health::Probing => None,
        })
        .min();
    RouteRefusal {
        retry_after: back_at.map_or(RETRY_AFTER_DEFAULT, |until| until.since(now)),
        explanation,
    }
}
