//! The targets of the earlier attempts of a request.

use std::net::Ipv4Addr;

use crate::deployment::RegionKey;
use crate::placement::EndpointKey;

/// An endpoint or a VM of the local region, or a VM that stands for another region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TriedTarget {
    Endpoint(EndpointKey),
    Vm(Ipv4Addr),
    RemoteVm { region: RegionKey, ip: Ipv4Addr },
}

impl TriedTarget {
    const fn ip(self) -> Option<Ipv4Addr> {
        match self {
            Self::Endpoint(_) => None,
            Self::Vm(ip) | Self::RemoteVm { ip, .. } => Some(ip),
        }
    }

    const fn region(self) -> Option<RegionKey> {
        match self {
            Self::Endpoint(_) | Self::Vm(_) => None,
            Self::RemoteVm { region, .. } => Some(region),
        }
    }
}

/// The targets of the earlier attempts of a request, which later ones leave out.
#[derive(Clone, Debug, Default)]
pub(super) struct TriedTargets {
    endpoints: Vec<EndpointKey>,
    vms: Vec<Ipv4Addr>,
    regions: Vec<RegionKey>,
    /// The regions of VMs to which no connection could be opened.
    unreached: Vec<RegionKey>,
    /// Those at which the request ran.
    ran: Vec<TriedTarget>,
    /// Those that were silent, which does not mean that they are not sound.
    silent: Vec<TriedTarget>,
    last: Option<TriedTarget>,
}

impl TriedTargets {
    /// Adds the target of the next attempt.
    pub(super) fn add(&mut self, target: TriedTarget) {
        if let TriedTarget::Endpoint(endpoint) = target {
            self.endpoints.push(endpoint);
        }
        self.vms.extend(target.ip());
        self.regions.extend(target.region());
        self.last = Some(target);
    }

    /// Records that the last target was not reached, so that another VM of its region may be, unless
    /// `region_vms_max` of them were not.
    pub(super) fn on_unreached(&mut self, region_vms_max: usize) {
        let Some(region) = self.last.and_then(TriedTarget::region) else {
            return;
        };
        self.unreached.push(region);
        let unreached = self.unreached.iter().filter(|other| **other == region);
        if unreached.count() < region_vms_max {
            self.regions.retain(|other| *other != region);
        }
    }

    /// Returns the target of the last attempt.
    pub(super) const fn last(&self) -> Option<TriedTarget> {
        self.last
    }

    /// Returns the targets of the attempts before the last one.
    pub(super) fn without_last(&self) -> Self {
        let mut earlier = self.clone();
        if let Some(last) = self.last {
            earlier.forget(last);
        }
        earlier
    }

    fn forget(&mut self, target: TriedTarget) {
        let is_endpoint = |endpoint| target == TriedTarget::Endpoint(endpoint);
        self.endpoints.retain(|endpoint| !is_endpoint(*endpoint));
        self.vms.retain(|vm| target.ip() != Some(*vm));
        self.regions
            .retain(|region| target.region() != Some(*region));
    }

    /// Records that the request ran at the last target.
    pub(super) fn on_ran(&mut self) {
        self.ran.extend(self.last);
    }

    /// Returns whether the request ran at a target.
    pub(super) fn has_run(&self, target: TriedTarget) -> bool {
        self.ran.contains(&target)
    }

    /// Returns whether the request ran in another region.
    pub(super) fn has_run_in(&self, region: RegionKey) -> bool {
        self.ran
            .iter()
            .any(|target| target.region() == Some(region))
    }

    /// Removes the targets that refused the request or were not reached.
    pub(super) fn forget_not_run(&mut self) {
        let ran = std::mem::take(&mut self.ran);
        let silent = std::mem::take(&mut self.silent);
        let last = self.last;
        *self = Self::default();
        for target in &ran {
            self.add(*target);
        }
        (self.ran, self.silent, self.last) = (ran, silent, last);
    }

    /// Records that the attempt at a target was given up because of its silence.
    pub(super) fn on_silent(&mut self, target: Option<TriedTarget>) {
        self.silent.extend(target);
    }

    /// Removes the targets that were silent; returns whether there were any.
    pub(super) fn forget_silent(&mut self) -> bool {
        let silent = std::mem::take(&mut self.silent);
        for target in &silent {
            self.forget(*target);
        }
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
