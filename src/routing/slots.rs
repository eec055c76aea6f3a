//! The number of requests that a VM may have in flight at an endpoint that other VMs use, too.

use xxhash_rust::xxh3::xxh3_64;

use super::EndpointLoad;
use crate::catalog::Endpoint;
use crate::catalog::WorkClass;
use crate::clock::Monotonic;

const LONG_SLOTS_PERCENT: u32 = 75;

/// The rank of a VM among the VMs that share the endpoints of a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sharing {
    /// The number of VMs, this one included.
    pub vm_count: u32,
    /// The position of this VM, from 0, in the order of names, which is the same on all VMs.
    pub rank: u32,
}

impl Sharing {
    /// Returns this VM's share of `amount` at one endpoint; the shares of all VMs add up to it.
    ///
    /// `offset` differs between endpoints, so that the remainder does not always go to the same
    /// VMs.
    fn share(&self, amount: u32, offset: u32) -> u32 {
        let vm_count = self.vm_count.max(1);
        let position = (self.rank % vm_count + offset % vm_count) % vm_count;
        amount / vm_count + u32::from(position < amount % vm_count)
    }
}

/// Returns how many requests this VM may have in flight at an endpoint.
///
/// A VM always has its static share of the concurrency, at least 1. A fresh load report may raise
/// this to the requests that the VM had there plus its share of the free slots.
pub fn slot_count(
    now: Monotonic,
    load: &EndpointLoad,
    endpoint: &Endpoint,
    sharing: Sharing,
) -> u32 {
    let offset = xxh3_64(endpoint.name.as_str().as_bytes()) as u32;
    let static_share = sharing.share(endpoint.concurrency, offset).max(1);
    let Some(report) = load.report(now) else {
        return static_share;
    };
    let free = endpoint
        .concurrency
        .saturating_sub(report.running + report.waiting);
    let with_free_share = report.local_requests + sharing.share(free, offset);
    static_share.max(with_free_share)
}

/// Returns how many of `slots` the requests of a class may use.
///
/// Long work leaves some slots to interactive work, so that an interactive request never waits for
/// a long one to finish on an endpoint that serves both.
pub fn class_slots(slots: u32, class: WorkClass) -> u32 {
    match class {
        WorkClass::Interactive => slots,
        WorkClass::Long => (slots * LONG_SLOTS_PERCENT / 100).max(1),
    }
}
