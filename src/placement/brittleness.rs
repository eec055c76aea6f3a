//! The room at an endpoint that bears only a few refusals for want of room.

use std::time::Duration;

use super::named_rate::NamedRate;
use super::NoPlacement;
use crate::clock::Monotonic;

/// The fraction of the refusals that an endpoint bears that VMs risk together.
const REFUSAL_FRACTION: f64 = 0.7;

/// The fraction of the slots that VMs share out among themselves: other requests are on their way.
const SLOT_FRACTION: f64 = 0.9;

/// The number of pauses without a refusal after which one more request is risked at once.
const PAUSES_PER_STEP: u32 = 4;

/// What a VM sends to an endpoint that bears only a few refusals a second for want of room, from all VMs
/// together, and says so.
///
/// Each VM takes its share of the slots, and after a refusal sends nothing for a time in which each
/// other VM may be refused once too; then it keeps to the number of requests that there was room for.
#[derive(Clone, Debug, Default)]
pub(super) struct Brittleness {
    /// The refusals per second that the endpoint bears.
    pub(super) refusals: NamedRate,
    refused_at: Option<Monotonic>,
    room: Option<u32>,
}

impl Brittleness {
    /// Records a refusal while `local_requests` of this VM were at the endpoint, this one included.
    pub(super) fn on_refused(&mut self, now: Monotonic, local_requests: u32) {
        self.refused_at = Some(now);
        let room = local_requests.saturating_sub(1).max(1);
        self.room = Some(self.room.map_or(room, |held| held.min(room)));
    }

    /// Returns for how long this VM may send no request to the endpoint, which has `slots`, while it is
    /// brittle; `None` if it may.
    pub(super) fn unavailable_for(
        &self,
        now: Monotonic,
        slots: u32,
        local_requests: u32,
        vm_count: u32,
    ) -> Option<Duration> {
        let refusals_per_s = self.refusals.in_force()?;
        let vm_count = vm_count.max(1);
        let pause_s = f64::from(vm_count) / (refusals_per_s * REFUSAL_FRACTION);
        let pause = Duration::from_secs_f64(pause_s);
        let mut room = (f64::from(slots) * SLOT_FRACTION) as u32 / vm_count;
        if let (Some(refused_at), Some(held)) = (self.refused_at, self.room) {
            let elapsed = now.since(refused_at);
            if elapsed < pause {
                return Some(pause - elapsed);
            }
            let steps = elapsed.as_secs_f64() / (pause_s * f64::from(PAUSES_PER_STEP));
            room = room.min(held.saturating_add(steps as u32));
        }
        (local_requests >= room.max(1)).then_some(NoPlacement::RETRY_AFTER_UNKNOWN)
    }
}
