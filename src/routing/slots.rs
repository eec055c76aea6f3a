//! How many requests one VM may have outstanding at an endpoint that other VMs use, too.

use super::EndpointLoad;
use crate::catalog::WorkClass;
use crate::clock::Monotonic;

const LONG_SLOTS_PERCENT: u32 = 75;

/// Returns how many requests this VM may have outstanding at an endpoint.
///
/// `sharing_vms` is the number of VMs that send to it, this one included. A VM always has its
/// static part of the concurrency. With a fresh report it has, on top of that, its part of what the
/// others leave free.
pub fn slot_count(now: Monotonic, load: &EndpointLoad, concurrency: u32, sharing_vms: u32) -> u32 {
    let sharing_vms = sharing_vms.max(1);
    let static_part = concurrency.div_ceil(sharing_vms).max(1);
    let Some(report) = load.report(now) else {
        return static_part;
    };
    let free = concurrency.saturating_sub(report.running + report.waiting);
    let with_free_part = report.own_requests + free.div_ceil(sharing_vms);
    static_part.max(with_free_part).min(concurrency.max(1))
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
