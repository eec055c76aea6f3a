//! The inputs to the choice of an endpoint.

use std::time::Duration;

use super::EndpointLoads;
use super::Sharing;
use crate::catalog::Catalog;
use crate::catalog::EndpointKey;
use crate::catalog::RegionKey;
use crate::catalog::WorkClass;
use crate::membership::MembershipView;
use crate::request::Call;

/// The most cross-region forwards of one request.
pub const FORWARDS_MAX: usize = 1;

/// The inputs to the choice of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The published objects in force.
    pub catalog: &'a Catalog,
    /// The membership view of the local VM, with the liveness of the other VMs.
    pub view: &'a MembershipView,
    /// The load of the endpoints, as known to the local VM.
    pub loads: &'a EndpointLoads,
    /// The call to route.
    pub call: &'a Call,
    /// The endpoints that this VM has already tried for the call.
    pub excluded: &'a [EndpointKey],
    /// The most forwards between VMs over the whole life of the call; 0 keeps it on this VM.
    pub forwards_max: usize,
    /// The expected wait of the call in this VM's queue.
    pub queue_wait: Duration,
}

impl RouteQuery<'_> {
    /// Returns the local region, or `None` if the catalog does not hold the local VM.
    pub fn local_region(&self) -> Option<RegionKey> {
        self.catalog.vms.get(self.view.local_vm).map(|vm| vm.region)
    }

    /// Returns whether the call may run in `region`.
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

    /// Returns the work class of the call's route, or `Long` if the route is unknown.
    pub fn class(&self) -> WorkClass {
        let route = self.catalog.routes.get(self.call.route);
        route.map_or(WorkClass::Long, |route| route.class)
    }

    /// Returns the rank of this VM among the VMs that share the endpoints of its region.
    pub fn sharing(&self) -> Sharing {
        let mut sharing = Sharing {
            vm_count: 1,
            rank: 0,
        };
        let Some(local) = self.catalog.vms.get(self.view.local_vm) else {
            return sharing;
        };
        for vm in self.view.serving_in(self.catalog, local.region) {
            if vm != self.view.local_vm {
                sharing.vm_count += 1;
                sharing.rank += u32::from(self.catalog.vms[vm].name < local.name);
            }
        }
        sharing
    }

    /// Returns whether the call may be forwarded to another VM.
    ///
    /// Each VM that forwards a call appends itself to the visited VMs.
    pub fn may_forward(&self) -> bool {
        self.call.visited.vms.len() < self.forwards_max
    }
}
