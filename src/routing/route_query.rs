//! What the choice of an endpoint depends on.

use std::time::Duration;

use super::EndpointLoads;
use crate::catalog::Catalog;
use crate::catalog::EndpointKey;
use crate::catalog::RegionKey;
use crate::catalog::WorkClass;
use crate::membership::MembershipView;
use crate::request::Call;

/// The longest way of a request: one crossing between VMs.
pub const CROSSINGS_MAX: usize = 1;

/// What the choice of an endpoint depends on.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The published objects in force.
    pub catalog: &'a Catalog,
    /// The VMs that are alive; its owner is the VM that chooses.
    pub view: &'a MembershipView,
    /// The load of the endpoints.
    pub loads: &'a EndpointLoads,
    /// The call.
    pub call: &'a Call,
    /// Endpoints that this VM has tried for the call.
    pub excluded: &'a [EndpointKey],
    /// The crossings between VMs that the call may make in all; 0 keeps it on this VM.
    pub crossings_max: usize,
    /// The expected wait of the call in the queue of this VM.
    pub queue_wait: Duration,
}

impl RouteQuery<'_> {
    /// Returns the region of the VM that chooses.
    pub fn own_region(&self) -> Option<RegionKey> {
        self.catalog.vms.get(self.view.own).map(|vm| vm.region)
    }

    /// Tells whether the call may run in `region`.
    ///
    /// A call without a client account comes from an open route and may run anywhere.
    pub fn allows_region(&self, region: RegionKey) -> bool {
        match self.call.client_account {
            None => true,
            Some(account) => self
                .catalog
                .client_accounts
                .get(account)
                .is_some_and(|account| account.allows_region(region)),
        }
    }

    /// Returns the class of work of the call.
    pub fn class(&self) -> WorkClass {
        let route = self.catalog.routes.get(self.call.route);
        route.map_or(WorkClass::Long, |route| route.class)
    }

    /// Returns the number of VMs that share the endpoints of the own region, this one included.
    pub fn sharing_vm_count(&self) -> u32 {
        let Some(region) = self.own_region() else {
            return 1;
        };
        let others = self
            .view
            .serving_in(self.catalog, region)
            .filter(|vm| *vm != self.view.own)
            .count();
        u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Tells whether the call may cross to another VM.
    ///
    /// Each VM that forwards a call adds itself to the visited ones.
    pub fn may_cross(&self) -> bool {
        self.call.visited.vms.len() < self.crossings_max
    }
}
