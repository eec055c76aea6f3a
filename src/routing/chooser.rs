//! Chooses the region, VM and endpoint for a request.

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
const FORWARD_MARGIN_INTERACTIVE: Duration = Duration::from_millis(100);
const FORWARD_MARGIN_LONG: Duration = Duration::from_secs(1);

/// One possible choice with its expected times.
#[derive(Clone, Copy, Debug)]
struct RouteOption {
    choice: RouteChoice,
    network_time: Duration,
    expected: Duration,
}

/// Chooses between an endpoint of the local region, the local queue and a VM of another region.
///
/// Picking the better of two random endpoints keeps VMs with the same stale load reports from all
/// choosing the same endpoint (Mitzenmacher, 2001). The endpoint that the prompt's prefix hashes to
/// is the third candidate; it is taken only if its expected time is no longer, which bounds its
/// load.
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
    let local = local_option(query, &local, rng);
    let remote = remote_option(query, &remote, rng);
    let option = match (local, remote) {
        (Some(local), Some(remote)) if is_worth_forwarding(query, &local, &remote) => remote,
        (Some(local), _) => local,
        (None, Some(remote)) => remote,
        (None, None) => return Err(refusal(now, query, explanation)),
    };
    Ok(RouteDecision {
        choice: option.choice,
        network_time: option.network_time,
        expected_first_event: option.expected,
        explanation,
    })
}

/// Returns whether the remote option is faster by a margin.
///
/// The margin accounts for the bandwidth that a forward uses between the regions.
fn is_worth_forwarding(query: &RouteQuery<'_>, local: &RouteOption, remote: &RouteOption) -> bool {
    let margin = match query.class() {
        WorkClass::Interactive => FORWARD_MARGIN_INTERACTIVE,
        WorkClass::Long => FORWARD_MARGIN_LONG,
    };
    remote.expected + margin < local.expected
}

/// Returns an endpoint of the local region with a free slot, or the queue if there is none.
fn local_option(
    query: &RouteQuery<'_>,
    endpoints: &[ScoredEndpoint],
    rng: &mut impl Rng,
) -> Option<RouteOption> {
    let free: Vec<ScoredEndpoint> = endpoints
        .iter()
        .filter(|endpoint| endpoint.has_slot)
        .copied()
        .collect();
    if let Some(best) = pick_endpoint(query, &free, rng) {
        return Some(RouteOption {
            choice: RouteChoice::Local(best.key),
            network_time: Duration::ZERO,
            expected: best.expected,
        });
    }
    let soonest = endpoints.iter().map(|endpoint| endpoint.expected).min()?;
    Some(RouteOption {
        choice: RouteChoice::Queue,
        network_time: Duration::ZERO,
        expected: soonest + query.queue_wait,
    })
}

fn remote_option(
    query: &RouteQuery<'_>,
    endpoints: &[ScoredEndpoint],
    rng: &mut impl Rng,
) -> Option<RouteOption> {
    let best = pick_endpoint(query, endpoints, rng)?;
    let choice = RouteChoice::Forward {
        vm: pick_vm(query, best.region, rng)?,
        region: best.region,
        preferred_endpoint: best.key,
    };
    Some(RouteOption {
        choice,
        network_time: network_time(query, best.region),
        expected: best.expected,
    })
}

fn pick_endpoint(
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
    match affinity_endpoint(query, endpoints) {
        Some(affinity) if affinity.expected <= random.expected => Some(affinity),
        _ => Some(random),
    }
}

/// Returns the endpoint that rendezvous hashing assigns to the prompt's shortest prefix.
///
/// All VMs compute the same endpoint without coordination, so prompts that share a prefix hit the
/// same cache.
fn affinity_endpoint(
    query: &RouteQuery<'_>,
    endpoints: &[ScoredEndpoint],
) -> Option<ScoredEndpoint> {
    let prefix = *prefix_hashes(query.call).first()?;
    let highest = endpoints.iter().max_by_key(|endpoint| {
        let endpoint = &query.catalog.endpoints[endpoint.key];
        rendezvous_score(prefix, &endpoint.name)
    })?;
    Some(*highest)
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
    let next_probe_at = explanation
        .excluded_endpoints
        .iter()
        .filter(|excluded| excluded.exclusion == Exclusion::CoolingDown)
        .filter_map(|excluded| query.loads.get(excluded.endpoint))
        .filter_map(|load| match load.health(now) {
            Health::CoolingDown { until } => Some(until),
            Health::Up | Health::Probing => None,
        })
        .min();
    RouteRefusal {
        retry_after: next_probe_at.map_or(RETRY_AFTER_DEFAULT, |until| until.since(now)),
        explanation,
    }
}
