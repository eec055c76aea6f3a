//! The published state, and the states before it that still count.

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

/// A published state that was replaced.
#[derive(Clone, Debug)]
struct Earlier {
    until: Monotonic,
    catalog: Arc<Catalog>,
}

/// The published state, and the states before it that still count.
///
/// The VMs take a change over at different times. While it spreads, a record needs the majorities
/// of the replicas before and after it, as a joint consensus does (Ongaro and Ousterhout, 2014).
#[derive(Clone, Debug)]
pub(super) struct HandOver {
    catalog: Arc<Catalog>,
    earlier: Vec<Earlier>,
}

impl HandOver {
    pub(super) fn new(catalog: Arc<Catalog>) -> Self {
        Self {
            catalog,
            earlier: Vec::new(),
        }
    }

    pub(super) fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Takes over a new state; tells whether it may place records elsewhere.
    ///
    /// Of more than 16 states within the hand-over time the oldest ones are kept.
    pub(super) fn replace(
        &mut self,
        now: Monotonic,
        settings: &IdempotencySettings,
        catalog: Arc<Catalog>,
    ) -> bool {
        self.expire(now);
        let is_moved = placement_signature(&self.catalog) != placement_signature(&catalog);
        let replaced = std::mem::replace(&mut self.catalog, catalog);
        if !is_moved {
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

    /// Tells whether a replaced state still counts.
    pub(super) fn is_active(&self) -> bool {
        !self.earlier.is_empty()
    }

    /// Forgets the states that have been replaced for long enough.
    pub(super) fn expire(&mut self, now: Monotonic) {
        self.earlier.retain(|earlier| earlier.until > now);
    }

    /// Returns the home region, or `None` if the states that count differ about it.
    pub(super) fn home_region(&self, route: RouteKey, id: &RecordId) -> Option<RegionKey> {
        let region = home_region(&self.catalog, route, id)?;
        let is_agreed = self
            .earlier
            .iter()
            .all(|earlier| home_region(&earlier.catalog, route, id) == Some(region));
        is_agreed.then_some(region)
    }

    /// Returns the replicas by each state that counts, each set once.
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

    /// Returns the VMs that keep a record by the present state and not by each earlier one.
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

    /// Returns the replicas by all states that count, each once.
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

/// Returns a hash of all that decides where records are kept.
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
