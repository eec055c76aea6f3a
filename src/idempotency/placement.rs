//! The region and the VMs that store the record of a call.

use super::RecordId;
use crate::catalog::Catalog;
use crate::catalog::RegionKey;
use crate::catalog::RouteKey;
use crate::catalog::ServiceState;
use crate::catalog::VmKey;
use crate::membership::rank_vms;
use crate::membership::rendezvous_score;
use crate::membership::MembershipView;

/// The number of replicas of a record.
pub(super) const REPLICA_COUNT: usize = 3;

/// Returns the home region of a call: a pure function of the published state.
///
/// It is chosen by rendezvous hashing among the regions that the account allows and that have an
/// endpoint of the route; `None` if there is none.
pub fn home_region(catalog: &Catalog, route: RouteKey, id: &RecordId) -> Option<RegionKey> {
    let hash = id.placement_hash(catalog);
    catalog
        .endpoints
        .values()
        .filter(|endpoint| endpoint.serves(route))
        .map(|endpoint| endpoint.region)
        .filter(|region| allows(catalog, id, *region))
        .max_by_key(|region| {
            let name = &catalog.regions[*region].name;
            (rendezvous_score(hash, name), name.clone())
        })
}

/// Returns the replicas of a record among the VMs of `region`, first choice first: a pure function
/// of the published state.
pub fn replica_set(catalog: &Catalog, region: RegionKey, id: &RecordId) -> Vec<VmKey> {
    let mut ranked = ranked_vms(catalog, region, id);
    ranked.truncate(REPLICA_COUNT);
    ranked
}

/// Returns the VM of the home region that should coordinate a call: the first choice of those that
/// are serving according to `view`.
pub fn home_vm(
    catalog: &Catalog,
    view: &MembershipView,
    region: RegionKey,
    id: &RecordId,
) -> Option<VmKey> {
    ranked_vms(catalog, region, id)
        .into_iter()
        .find(|vm| view.vms.get(*vm).is_some_and(|vm| vm.is_serving()))
}

fn ranked_vms(catalog: &Catalog, region: RegionKey, id: &RecordId) -> Vec<VmKey> {
    let active = catalog
        .published_vms_in(region)
        .filter(|vm| catalog.vms[*vm].state == ServiceState::Active);
    rank_vms(catalog, id.placement_hash(catalog), active)
}

fn allows(catalog: &Catalog, id: &RecordId, region: RegionKey) -> bool {
    match id.client_account {
        None => true,
        Some(account) => catalog
            .client_accounts
            .get(account)
            .is_some_and(|account| account.allows_region(region)),
    }
}
