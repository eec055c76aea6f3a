//! The hard filters of the choice.

use super::Exclusion;
use super::Health;
use super::RouteQuery;
use crate::catalog::Endpoint;
use crate::catalog::EndpointKey;
use crate::catalog::EndpointRole;
use crate::catalog::RegionKey;
use crate::catalog::VmKey;
use crate::clock::Monotonic;

const MEMORY_MAX_PERMILLE: u32 = 980;

/// Returns why an endpoint cannot take a call, or `None` if it can.
pub(super) fn exclusion(
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
    if Some(endpoint.region) != query.local_region() {
        if let Some(exclusion) = crossing_exclusion(query, endpoint.region) {
            return Some(exclusion);
        }
    }
    load_exclusion(now, query, key)
}

/// Returns the VMs of a region that a call can be forwarded to.
pub(super) fn serving_vms<'a>(
    query: &'a RouteQuery<'_>,
    region: RegionKey,
) -> impl Iterator<Item = VmKey> + 'a {
    query
        .view
        .serving_in(query.catalog, region)
        .filter(|vm| *vm != query.view.own && !query.call.visited.has_vm(*vm))
}

fn crossing_exclusion(query: &RouteQuery<'_>, region: RegionKey) -> Option<Exclusion> {
    if !query.may_forward() {
        return Some(Exclusion::CrossingsSpent);
    }
    if query.call.visited.has_region(region) {
        return Some(Exclusion::RegionVisited);
    }
    let has_vm = serving_vms(query, region).next().is_some();
    (!has_vm).then_some(Exclusion::NoServingVm)
}

fn load_exclusion(now: Monotonic, query: &RouteQuery<'_>, key: EndpointKey) -> Option<Exclusion> {
    let load = query.loads.get(key)?;
    if matches!(load.health(now), Health::CoolingDown { .. }) {
        return Some(Exclusion::CoolingDown);
    }
    let is_full = load
        .report(now)
        .is_some_and(|report| report.cache_used_permille > MEMORY_MAX_PERMILLE);
    is_full.then_some(Exclusion::OverMemory)
}
