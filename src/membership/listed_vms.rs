//! The state of VMs by the platform's list of VMs.

use slotmap::SecondaryMap;

use crate::catalog::Catalog;
use crate::catalog::ServiceState;
use crate::catalog::VmKey;
use crate::publication::VmListEntry;

/// The state of VMs by the platform's list of VMs.
///
/// The list lags: a VM that was never on it may be newer than the list, while a VM that was on it
/// and no longer is has gone.
#[derive(Clone, Debug, Default)]
pub struct ListedVms {
    states: SecondaryMap<VmKey, ListState>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListState {
    Listed,
    Gone,
}

impl ListedVms {
    /// Replaces the states with those of the platform's current list.
    pub fn update(&mut self, catalog: &Catalog, list: &[VmListEntry]) {
        self.states.retain(|vm, _| catalog.vms.contains_key(vm));
        for state in self.states.values_mut() {
            *state = ListState::Gone;
        }
        for entry in list {
            if let Some(vm) = catalog.vm_named(&entry.vm) {
                self.states.insert(vm, ListState::from(entry.state));
            }
        }
    }

    /// Returns whether the VM is leaving by the list or was removed from it.
    pub fn is_gone(&self, vm: VmKey) -> bool {
        self.states.get(vm) == Some(&ListState::Gone)
    }
}

impl From<ServiceState> for ListState {
    fn from(state: ServiceState) -> Self {
        match state {
            ServiceState::Active => Self::Listed,
            ServiceState::Leaving => Self::Gone,
        }
    }
}
