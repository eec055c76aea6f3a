//! VMs that are known before they are in the published roster.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ConfigurationStore;
use super::ObjectId;
use super::ObjectKind;
use super::VmIdentity;
use crate::catalog::Name;
use crate::catalog::ObjectSpec;
use crate::catalog::RegionSpec;
use crate::catalog::ServiceState;
use crate::catalog::VmSpec;
use crate::clock::Monotonic;

const INTRODUCED_MAX: usize = 64;
const INTRODUCTION_LIFETIME: Duration = Duration::from_secs(600);

/// VMs that are known before they are in the published roster: the local VM, the seed VMs of the
/// settings and those that introduced themselves.
///
/// The published roster takes precedence: a published value replaces an entry of the overlay, and a
/// tombstone hides it. Only the local VM stays visible, as leaving. The overlay is never gossiped.
#[derive(Clone, Debug)]
pub(super) struct RosterOverlay {
    local_vm: VmIdentity,
    seeds: Vec<VmIdentity>,
    introduced: BTreeMap<Name, Introduction>,
}

#[derive(Clone, Debug)]
struct Introduction {
    spec: VmSpec,
    renewed_at: Monotonic,
}

/// Objects added to the published ones in a catalog.
#[derive(Debug, Default)]
pub(super) struct OverlayObjects {
    pub(super) objects: BTreeMap<ObjectId, ObjectSpec>,
}

impl RosterOverlay {
    pub(super) fn new(local_vm: VmIdentity, seeds: Vec<VmIdentity>) -> Self {
        Self {
            local_vm,
            seeds,
            introduced: BTreeMap::new(),
        }
    }

    pub(super) fn local_name(&self) -> &Name {
        &self.local_vm.name
    }

    /// Records or renews an introduction; returns `true` if the VM was not recorded before.
    pub(super) fn introduce(&mut self, now: Monotonic, vm: VmIdentity) -> bool {
        let is_known = self.introduced.contains_key(&vm.name);
        if !is_known && self.introduced.len() == INTRODUCED_MAX {
            self.remove_oldest();
        }
        let introduction = Introduction {
            spec: vm.spec,
            renewed_at: now,
        };
        self.introduced.insert(vm.name, introduction);
        !is_known
    }

    /// Removes introductions that were not renewed; returns `true` if there were any.
    pub(super) fn expire(&mut self, now: Monotonic) -> bool {
        let count = self.introduced.len();
        self.introduced
            .retain(|_, vm| now.since(vm.renewed_at) < INTRODUCTION_LIFETIME);
        self.introduced.len() < count
    }

    /// Returns the objects to add to the published ones.
    pub(super) fn objects(&self, store: &ConfigurationStore) -> OverlayObjects {
        let mut overlay = OverlayObjects::default();
        let introduced = self.introduced.iter().map(|(name, vm)| (name, &vm.spec));
        let seeds = self.seeds.iter().map(|vm| (&vm.name, &vm.spec));
        for (name, spec) in introduced.chain(seeds) {
            if store.get(&vm_id(name)).is_none() {
                overlay.add(store, name, spec.clone());
            }
        }
        self.add_local_vm(store, &mut overlay);
        overlay
    }

    fn add_local_vm(&self, store: &ConfigurationStore, overlay: &mut OverlayObjects) {
        let published = store.get(&vm_id(&self.local_vm.name));
        let mut spec = self.local_vm.spec.clone();
        match published.map(|record| record.value.as_deref()) {
            Some(Some(ObjectSpec::Vm(published))) => {
                overlay.add_zone(store, published);
                return;
            }
            Some(_) => spec.state = ServiceState::Leaving,
            None => {}
        }
        overlay.add(store, &self.local_vm.name, spec);
    }

    fn remove_oldest(&mut self) {
        let oldest = self
            .introduced
            .iter()
            .min_by_key(|(_, vm)| vm.renewed_at)
            .map(|(name, _)| name.clone());
        if let Some(name) = oldest {
            self.introduced.remove(&name);
        }
    }
}

impl OverlayObjects {
    fn add(&mut self, store: &ConfigurationStore, name: &Name, spec: VmSpec) {
        self.add_zone(store, &spec);
        self.objects.insert(vm_id(name), ObjectSpec::Vm(spec));
    }

    /// Adds the region and the availability zone of a VM unless they exist.
    fn add_zone(&mut self, store: &ConfigurationStore, spec: &VmSpec) {
        let id = ObjectId {
            kind: ObjectKind::Region,
            name: spec.region.clone(),
        };
        let published = store.get(&id).and_then(|record| record.value.as_deref());
        let known = self.objects.get(&id).or(published);
        let mut region = match known {
            Some(ObjectSpec::Region(region)) => region.clone(),
            _ => RegionSpec {
                availability_zones: Vec::new(),
                links: Vec::new(),
            },
        };
        if region.availability_zones.contains(&spec.availability_zone) {
            return;
        }
        region
            .availability_zones
            .push(spec.availability_zone.clone());
        self.objects.insert(id, ObjectSpec::Region(region));
    }
}

fn vm_id(name: &Name) -> ObjectId {
    ObjectId {
        kind: ObjectKind::Vm,
        name: name.clone(),
    }
}
