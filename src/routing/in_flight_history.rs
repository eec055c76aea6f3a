//! The recent history of this VM's in-flight requests at an endpoint.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::clock::Monotonic;

const SLOT_COUNT: usize = 64;
const SLOT_MS: u64 = 50;
const COUNT_BITS: u32 = 24;

/// The number of requests that this VM had in flight at an endpoint, in slots of 50 ms.
///
/// A load report lags. To tell how many of the requests that it counts came from this VM, the VM
/// looks up how many it had in flight when the report was taken.
#[derive(Debug)]
pub(super) struct InFlightHistory {
    slots: Box<[AtomicU64]>,
}

impl Default for InFlightHistory {
    fn default() -> Self {
        Self {
            slots: (0..SLOT_COUNT).map(|_| AtomicU64::new(0)).collect(),
        }
    }
}

impl InFlightHistory {
    /// Records that this VM has `in_flight` requests at the endpoint.
    pub(super) fn record(&self, now: Monotonic, in_flight: u32) {
        let number = slot_number(now);
        let packed = (number << COUNT_BITS) | u64::from(in_flight);
        self.slots[number as usize % SLOT_COUNT].store(packed, Ordering::Relaxed);
    }

    /// Returns the number of requests in flight at `at`, or `None` if no record is that old.
    pub(super) fn at(&self, at: Monotonic) -> Option<u32> {
        let wanted = slot_number(at);
        self.slots
            .iter()
            .map(|slot| slot.load(Ordering::Relaxed))
            .filter(|packed| *packed != 0 && packed >> COUNT_BITS <= wanted)
            .max()
            .map(|packed| (packed & ((1 << COUNT_BITS) - 1)) as u32)
    }
}

fn slot_number(at: Monotonic) -> u64 {
    1 + at.as_ms() / SLOT_MS
}
