//! The VMs and regions that a request has passed.

use crate::catalog::RegionKey;
use crate::catalog::VmKey;

/// The VMs and regions that a request has passed; it enters none of them twice.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Visited {
    /// The VMs, in order.
    pub vms: Vec<VmKey>,
    /// The regions, in order.
    pub regions: Vec<RegionKey>,
}

impl Visited {
    /// Records a visit.
    pub fn push(&mut self, vm: VmKey, region: RegionKey) {
        self.vms.push(vm);
        self.regions.push(region);
    }

    /// Tells whether the request has passed `vm`.
    pub fn has_vm(&self, vm: VmKey) -> bool {
        self.vms.contains(&vm)
    }

    /// Tells whether the request has passed `region`.
    pub fn has_region(&self, region: RegionKey) -> bool {
        self.regions.contains(&region)
    }
}
