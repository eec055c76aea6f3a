//! The VMs and regions that have forwarded a request.

use crate::catalog::RegionKey;
use crate::catalog::VmKey;

/// The VMs and regions that have forwarded a request; it is sent back to none of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Visited {
    /// The VMs, in the order of the forwards.
    pub vms: Vec<VmKey>,
    /// The regions of the VMs, in the same order.
    pub regions: Vec<RegionKey>,
}

impl Visited {
    /// Records a forward by `vm` of `region`.
    pub fn push(&mut self, vm: VmKey, region: RegionKey) {
        self.vms.push(vm);
        self.regions.push(region);
    }

    /// Returns whether `vm` has forwarded the request.
    pub fn has_vm(&self, vm: VmKey) -> bool {
        self.vms.contains(&vm)
    }

    /// Returns whether a VM of `region` has forwarded the request.
    pub fn has_region(&self, region: RegionKey) -> bool {
        self.regions.contains(&region)
    }
}
