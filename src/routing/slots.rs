//! How many requests one VM may have outstanding at an endpoint that other VMs use, too.

use xxhash_rust::xxh3::xxh3_64;

use super::EndpointLoad;
use crate::catalog::Endpoint;
use crate::catalog::WorkClass;
use crate::clock::Monotonic;

const LONG_SLOTS_PERCENT: u32 = 75;

/// The place of a VM among those that share the endpoints of a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sharing {
    /// The number of VMs, this one included.
    pub vm_count: u32,
    /// The position of this VM in an order that all of them know.
    pub rank: u32,
}

impl Sharing {
    /// Returns the part of `amount` at one endpoint; the parts of all VMs add up to it.
    ///
    /// `offset` differs from endpoint to endpoint, so that no VM has the larger part of each.
    fn part(&self, amount: u32, offset: u32) -> u32 {
        let vm_count = self.vm_count.max(1);
        let place = (self.rank % vm_count + offset % vm_count) % vm_count;
        amount / vm_count + u32::from(place < amount % vm_count)
    }
}

/// Returns how many requests this VM may have outstanding at an endpoint.
///
/// A VM always has its static part of the concurrency, at least 1. With a fresh report it has, on
/// top of what it had there, its part of what all VMs together leave free.
pub fn slot_count(
    now: Monotonic,
    load: &EndpointLoad,
    endpoint: &Endpoint,
    sharing: Sharing,
) -> u32 {
    let offset = xxh3_64(endpoint.name.as_str().as_bytes()) as u32;
    let static_part = sharing.part(endpoint.concurrency, offset).max(1);
    let Some(report) = load.report(now) else {
        return static_part;
    };
    let free = endpoint
        .concurrency
        .saturating_sub(report.running + report.waiting);
    let with_free_part = report.own_requests + sharing.part(free, offset);
    static_part.max(with_free_part)
}

/// Returns how many of `slots` requests of a class may take.
///
/// Long work leaves a part to short work, so that a short request never waits for a long one to
/// end on an endpoint that serves both.
pub fn class_slots(slots: u32, class: WorkClass) -> u32 {
    match class {
        WorkClass::Interactive => slots,
        WorkClass::Long => (slots * LONG_SLOTS_PERCENT / 100).max(1),
    }
}
