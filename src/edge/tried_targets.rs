//! The targets of the earlier attempts of a request.

use std::net::Ipv4Addr;

use crate::deployment::RegionKey;
use crate::placement::EndpointKey;

/// An endpoint or a VM of the local region, or another region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TriedTarget {
    Endpoint(EndpointKey),
    Vm(Ipv4Addr),
    Region(RegionKey),
}

/// The targets of the earlier attempts of a request, which later ones leave out.
#[derive(Clone, Debug, Default)]
pub(super) struct TriedTargets {
    endpoints: Vec<EndpointKey>,
    vms: Vec<Ipv4Addr>,
    regions: Vec<RegionKey>,
    /// Those that were silent, which does not mean that they are not sound.
    silent: Vec<TriedTarget>,
    last: Option<TriedTarget>,
}

impl TriedTargets {
    pub(super) fn add_endpoint(&mut self, endpoint: EndpointKey) {
        self.endpoints.push(endpoint);
        self.last = Some(TriedTarget::Endpoint(endpoint));
    }

    pub(super) fn add_vm(&mut self, vm: Ipv4Addr) {
        self.vms.push(vm);
        self.last = Some(TriedTarget::Vm(vm));
    }

    pub(super) fn add_region(&mut self, region: RegionKey) {
        self.regions.push(region);
        self.last = Some(TriedTarget::Region(region));
    }

    /// Returns the target of the last attempt.
    pub(super) const fn last(&self) -> Option<TriedTarget> {
        self.last
    }

    /// Returns the targets of the attempts before the last one.
    pub(super) fn without_last(&self) -> Self {
        let is_last = |target| self.last == Some(target);
        let mut earlier = self.clone();
        earlier
            .endpoints
            .retain(|endpoint| !is_last(TriedTarget::Endpoint(*endpoint)));
        earlier.vms.retain(|vm| !is_last(TriedTarget::Vm(*vm)));
        earlier
            .regions
            .retain(|region| !is_last(TriedTarget::Region(*region)));
        earlier
    }

    /// Records that the attempt at a target was given up because of its silence.
    pub(super) fn on_silent(&mut self, target: Option<TriedTarget>) {
        self.silent.extend(target);
    }

    /// Removes the targets that were silent; returns whether there were any.
    pub(super) fn forget_silent(&mut self) -> bool {
        let silent = std::mem::take(&mut self.silent);
        let is_silent = |target| silent.contains(&target);
        self.endpoints
            .retain(|endpoint| !is_silent(TriedTarget::Endpoint(*endpoint)));
        self.vms.retain(|vm| !is_silent(TriedTarget::Vm(*vm)));
        self.regions
            .retain(|region| !is_silent(TriedTarget::Region(*region)));
        !silent.is_empty()
    }

    pub(super) fn endpoints(&self) -> &[EndpointKey] {
        &self.endpoints
    }

    pub(super) fn vms(&self) -> &[Ipv4Addr] {
        &self.vms
    }

    pub(super) fn regions(&self) -> &[RegionKey] {
        &self.regions
    }
}
