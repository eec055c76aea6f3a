//! Published states that are in effect together while a change spreads.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use super::home_region;
use super::replica_set;
use super::IdempotencySettings;
use super::RecordId;
use crate::catalog::Catalog;
use crate::catalog::RegionKey;
use crate::catalog::RouteKey;
use crate::catalog::VmKey;
use crate::clock::Monotonic;

const EARLIER_MAX: usize = 16;

/// A replaced published state that stays in effect until `until`.
#[derive(Clone, Debug)]
struct Earlier {
    until: Monotonic,
    catalog: Arc<Catalog>,
}

/// The current published state, and the earlier states that are still in effect.
///
/// The VMs apply a change at different times. While it spreads, a record needs the majorities of the
/// replicas before and after it, as in joint consensus (Ongaro and Ousterhout, 2014).
#[derive(Clone, Debug)]
pub(super) struct CatalogTransition {
    catalog: Arc<Catalog>,
    earlier: Vec<Earlier>,
}

impl CatalogTransition {
    pub(super) fn new(catalog: Arc<Catalog>) -> Self {
        Self {
            catalog,
            earlier: Vec::new(),
        }
    }

    pub(super) fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Replaces the current state; returns whether the placement of records may change.
    ///
    /// Of more than 16 replaced states within the transition time, the oldest ones stay in effect.
    pub(super) fn replace(
        &mut self,
        now: Monotonic,
        settings: &IdempotencySettings,
        catalog: Arc<Catalog>,
    ) -> bool {
        self.expire(now);
        let is_placement_changed =
            placement_signature(&self.catalog) != placement_signature(&catalog);
        let replaced = std::mem::replace(&mut self.catalog, catalog);
        if !is_placement_changed {
            return false;
        }
        let until = now + settings.transition;
        if self.earlier.len() < EARLIER_MAX {
            self.earlier.push(Earlier {
                until,
                catalog: replaced,
            });
        } else if let Some(last) = self.earlier.last_mut() {
            last.until = until;
        }
        true
    }

    /// Returns whether an earlier state is still in effect.
    pub(super) fn is_active(&self) -> bool {
        !self.earlier.is_empty()
    }

    /// Removes the earlier states whose transition time is over.
    pub(super) fn expire(&mut self, now: Monotonic) {
        self.earlier.retain(|earlier| earlier.until > now);
    }

    /// Returns the home region, or `None` if it differs between the states in effect.
    pub(super) fn home_region(&self, route: RouteKey, id: &RecordId) -> Option<RegionKey> {
        let region = home_region(&self.catalog, route, id)?;
        let is_agreed = self
            .earlier
            .iter()
            .all(|earlier| home_region(&earlier.catalog, route, id) == Some(region));
        is_agreed.then_some(region)
    }

    /// Returns the replica set of each state in effect, equal sets once.
    pub(super) fn replica_sets(&self, region: RegionKey, id: &RecordId) -> Vec<Vec<VmKey>> {
        let mut sets = vec![replica_set(&self.catalog, region, id)];
        for earlier in &self.earlier {
            let set = replica_set(&earlier.catalog, region, id);
            if !sets.contains(&set) {
                sets.push(set);
            }
        }
        sets
    }

    /// Returns the replicas under the current state that are missing from an earlier one.
    pub(super) fn new_replicas(&self, route: RouteKey, id: &RecordId) -> Vec<VmKey> {
        let Some(region) = home_region(&self.catalog, route, id) else {
            return Vec::new();
        };
        let mut replicas = replica_set(&self.catalog, region, id);
        replicas.retain(|vm| {
            self.earlier.iter().any(|earlier| {
                let region = home_region(&earlier.catalog, route, id);
                !region.is_some_and(|region| replica_set(&earlier.catalog, region, id).contains(vm))
            })
        });
        replicas
    }

    /// Returns the replicas under all states in effect, each once.
    pub(super) fn replicas(&self, region: RegionKey, id: &RecordId) -> Vec<VmKey> {
        let mut replicas: Vec<VmKey> = self
            .replica_sets(region, id)
            .into_iter()
            .flatten()
            .collect();
        replicas.sort_unstable();
        replicas.dedup();
        replicas
    }
}

/// Returns a hash of all catalog fields that determine the placement of records.
fn placement_signature(catalog: &Catalog) -> u64 {
    let mut hasher = DefaultHasher::new();
    for (key, vm) in &catalog.vms {
        (key, &vm.name, vm.region, vm.state, vm.is_published).hash(&mut hasher);
    }
    for (key, endpoint) in &catalog.endpoints {
        (key, endpoint.region, &endpoint.routes).hash(&mut hasher);
    }
    for (key, account) in &catalog.client_accounts {
        (key, &account.name, &account.allowed_regions).hash(&mut hasher);
    }
    hasher.finish()
}
