//! Chooses region, VM and endpoint for a request.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use super::attempt::prefix_hashes;
use super::estimate::expected_first_event;
use super::estimate::expected_requests;
use super::slots::class_slots;
use super::slots::slot_count;
use super::EndpointLoad;
use super::Exclusion;
use super::Explanation;
use super::Health;
use super::RouteChoice;
use super::RouteDecision;
use super::RouteQuery;
use super::RouteRefusal;
use crate::catalog::Endpoint;
use crate::catalog::EndpointKey;
use crate::catalog::EndpointRole;
use crate::catalog::RegionKey;
use crate::catalog::VmKey;
use crate::clock::Monotonic;
use crate::membership::rendezvous_score;

const MEMORY_MAX_PERMILLE: u32 = 980;
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(2);
const LOAD_BOUND_PERCENT: u64 = 125;
const CROSSING_MARGIN: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug)]
struct Candidate {
    endpoint: EndpointKey,
    region: RegionKey,
    expected: Duration,
    requests: u32,
    concurrency: u32,
    has_slot: bool,
}

#[derive(Clone, Copy, Debug)]
struct Picked {
    choice: RouteChoice,
    expected: Duration,
}

/// Chooses where a call goes: to an endpoint of the own region or to a VM of another one.
///
/// Two choices at random keep VMs with the same lagging reports from all taking the same endpoint
/// (Mitzenmacher, 2001); the endpoint of the prompt's prefix is the third choice as long as its
/// load is bounded (Mirrokni, Thorup and Zadimoghaddam, 2018).
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
    let candidates = candidates(now, query, &mut explanation);
    let own_region = query.own_region();
    let (local, remote): (Vec<Candidate>, Vec<Candidate>) = candidates
        .into_iter()
        .partition(|candidate| Some(candidate.region) == own_region);
    let local = pick_local(query, &local, rng);
    let remote = pick_remote(query, &remote, rng);
    let best = match (local, remote) {
        (Some(local), Some(remote)) if remote.expected + CROSSING_MARGIN < local.expected => remote,
        (Some(local), _) => local,
        (None, Some(remote)) => remote,
        (None, None) => return Err(refusal(now, query, explanation)),
    };
    Ok(RouteDecision {
        choice: best.choice,
        expected_first_event: best.expected,
        explanation,
    })
}

/// Picks an endpoint of the own region with a free slot, or the queue if there is none.
fn pick_local(
    query: &RouteQuery<'_>,
    candidates: &[Candidate],
    rng: &mut impl Rng,
) -> Option<Picked> {
    let free: Vec<Candidate> = candidates
        .iter()
        .filter(|candidate| candidate.has_slot)
        .copied()
        .collect();
    if let Some(best) = pick(query, &free, rng) {
        return Some(Picked {
            choice: RouteChoice::Local(best.endpoint),
            expected: best.expected,
        });
    }
    let soonest = candidates
        .iter()
        .map(|candidate| candidate.expected)
        .min()?;
    Some(Picked {
        choice: RouteChoice::Queue,
        expected: soonest + query.queue_wait,
    })
}

fn pick_remote(
    query: &RouteQuery<'_>,
    candidates: &[Candidate],
    rng: &mut impl Rng,
) -> Option<Picked> {
    let best = pick(query, candidates, rng)?;
    let choice = RouteChoice::Forward {
        vm: pick_vm(query, best.region, rng)?,
        region: best.region,
        preferred_endpoint: best.endpoint,
    };
    Some(Picked {
        choice,
        expected: best.expected,
    })
}

fn candidates(
    now: Monotonic,
    query: &RouteQuery<'_>,
    explanation: &mut Explanation,
) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    let sharing_vms = query.sharing_vm_count();
    for (key, endpoint) in &query.catalog.endpoints {
        if !endpoint.serves(query.call.route) {
            continue;
        }
        match exclusion(now, query, key, endpoint) {
            Some(exclusion) => explanation.leave_out(key, exclusion),
            None => {
                if let Some(load) = query.loads.get(key) {
                    candidates.push(candidate(now, query, key, endpoint, load, sharing_vms));
                }
            }
        }
    }
    explanation.candidate_count = candidates.len() as u32;
    candidates
}

fn exclusion(
    now: Monotonic,
    query: &RouteQuery<'_>,
    key: EndpointKey,
    endpoint: &Endpoint,
) -> Option<Exclusion> {
    if !query.allows_region(endpoint.region) {
        return Some(Exclusion::RegionNotAllowed);
    }
    if endpoint.role != EndpointRole::Full {
        return Some(Exclusion::WrongRole);
    }
    if !endpoint.takes_new_work() {
        return Some(Exclusion::Leaving);
    }
    if query.excluded.contains(&key) {
        return Some(Exclusion::AlreadyTried);
    }
    if Some(endpoint.region) != query.own_region() {
        if let Some(exclusion) = crossing_exclusion(query, endpoint.region) {
            return Some(exclusion);
        }
    }
    let load = query.loads.get(key)?;
    if matches!(load.health(now), Health::CoolingDown { .. }) {
        return Some(Exclusion::CoolingDown);
    }
    let is_full = load
        .report(now)
        .is_some_and(|report| report.cache_used_permille > MEMORY_MAX_PERMILLE);
    is_full.then_some(Exclusion::OverMemory)
}

fn crossing_exclusion(query: &RouteQuery<'_>, region: RegionKey) -> Option<Exclusion> {
    if !query.may_cross() {
        return Some(Exclusion::CrossingsSpent);
    }
    if query.call.visited.has_region(region) {
        return Some(Exclusion::RegionVisited);
    }
    let has_vm = serving_vms(query, region).next().is_some();
    (!has_vm).then_some(Exclusion::NoServingVm)
}

fn candidate(
    now: Monotonic,
    query: &RouteQuery<'_>,
    key: EndpointKey,
    endpoint: &Endpoint,
    load: &EndpointLoad,
    sharing_vms: u32,
) -> Candidate {
    let slots = slot_count(now, load, endpoint.concurrency, sharing_vms);
    Candidate {
        endpoint: key,
        region: endpoint.region,
        expected: expected_first_event(now, query, endpoint, load),
        requests: expected_requests(now, query, endpoint, load),
        concurrency: endpoint.concurrency.max(1),
        has_slot: load.own_requests() < class_slots(slots, query.class()),
    }
}

fn pick(query: &RouteQuery<'_>, candidates: &[Candidate], rng: &mut impl Rng) -> Option<Candidate> {
    if candidates.is_empty() {
        return None;
    }
    let first = candidates[rng.random_range(0..candidates.len())];
    let second = candidates[rng.random_range(0..candidates.len())];
    let random = if second.expected < first.expected {
        second
    } else {
        first
    };
    match affine(query, candidates) {
        Some(affine) if affine.expected <= random.expected => Some(affine),
        _ => Some(random),
    }
}

/// Returns the endpoint that the prompt's first prefix hashes to, unless it has more than its part
/// of the load.
fn affine(query: &RouteQuery<'_>, candidates: &[Candidate]) -> Option<Candidate> {
    let prefix = *prefix_hashes(query.call).first()?;
    let home = candidates.iter().max_by_key(|candidate| {
        let endpoint = &query.catalog.endpoints[candidate.endpoint];
        rendezvous_score(prefix, &endpoint.name)
    })?;
    let requests: u64 = candidates
        .iter()
        .map(|other| u64::from(other.requests))
        .sum();
    let capacity: u64 = candidates
        .iter()
        .map(|other| u64::from(other.concurrency))
        .sum();
    let mean_part = requests * u64::from(home.concurrency) / capacity;
    let bound = mean_part * LOAD_BOUND_PERCENT / 100 + 1;
    (u64::from(home.requests) <= bound).then_some(*home)
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

fn serving_vms<'a>(
    query: &'a RouteQuery<'_>,
    region: RegionKey,
) -> impl Iterator<Item = VmKey> + 'a {
    query
        .view
        .serving_in(query.catalog, region)
        .filter(|vm| *vm != query.view.own && !query.call.visited.has_vm(*vm))
}

fn refusal(now: Monotonic, query: &RouteQuery<'_>, explanation: Explanation) -> RouteRefusal {
    let back_at = explanation
        .left_out
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
