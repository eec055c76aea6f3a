//! The hard filters: rules that exclude endpoints from a choice.

use super::Exclusion;
use super::Health;
use super::RouteQuery;
use crate::catalog::Endpoint;
use crate::catalog::EndpointKey;
use crate::catalog::EndpointRole;
use crate::catalog::RegionKey;
use crate::catalog::VmKey;
use crate::clock::Monotonic;

const CACHE_USED_MAX_PERMILLE: u32 = 980;

/// Returns the first reason why an endpoint cannot take the call, or `None` if it can.
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
        if let Some(exclusion) = forward_exclusion(query, endpoint.region) {
            return Some(exclusion);
        }
    }
    load_exclusion(now, query, key)
}

/// Returns the serving VMs of `region` that the call has not visited, except the local VM.
pub(super) fn serving_vms<'a>(
    query: &'a RouteQuery<'_>,
    region: RegionKey,
) -> impl Iterator<Item = VmKey> + 'a {
    query
        .view
        .serving_in(query.catalog, region)
        .filter(|vm| *vm != query.view.local_vm && !query.call.visited.has_vm(*vm))
}

fn forward_exclusion(query: &RouteQuery<'_>, region: RegionKey) -> Option<Exclusion> {
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
        .is_some_and(|report| report.cache_used_permille > CACHE_USED_MAX_PERMILLE);
    is_full.then_some(Exclusion::OverMemory)
}
