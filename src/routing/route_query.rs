//! What the choice of an endpoint depends on.

use std::time::Duration;

use super::EndpointLoads;
use super::Sharing;
use crate::catalog::Catalog;
use crate::catalog::EndpointKey;
use crate::catalog::RegionKey;
use crate::catalog::WorkClass;
use crate::membership::MembershipView;
use crate::request::Call;

/// The longest way of a request: one crossing between VMs.
pub const FORWARDS_MAX: usize = 1;

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
    pub forwards_max: usize,
    /// The expected wait of the call in the queue of this VM.
    pub queue_wait: Duration,
}

impl RouteQuery<'_> {
    /// Returns the region of the VM that chooses.
    pub fn local_region(&self) -> Option<RegionKey> {
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

    /// Returns the place of this VM among those that share the endpoints of its region.
    pub fn sharing(&self) -> Sharing {
        let mut sharing = Sharing {
            vm_count: 1,
            rank: 0,
        };
        let Some(own) = self.catalog.vms.get(self.view.own) else {
            return sharing;
        };
        for vm in self.view.serving_in(self.catalog, own.region) {
            if vm != self.view.own {
                sharing.vm_count += 1;
                sharing.rank += u32::from(self.catalog.vms[vm].name < own.name);
            }
        }
        sharing
    }

    /// Tells whether the call may cross to another VM.
    ///
    /// Each VM that forwards a call adds itself to the visited ones.
    pub fn may_forward(&self) -> bool {
        self.call.visited.vms.len() < self.forwards_max
    }
}
