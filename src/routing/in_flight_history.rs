//! The recent number of own requests at an endpoint.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::clock::Monotonic;

const SLOT_COUNT: usize = 64;
const SLOT_MS: u64 = 50;
const COUNT_BITS: u32 = 24;

/// The number of own outstanding requests in each of the last slots of 50 ms.
///
/// A load report lags. To know which of the requests it counts are the VM's own, the VM has to know
/// how many it had outstanding when the report was taken.
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
    /// Notes that `outstanding` own requests are outstanding now.
    pub(super) fn record(&self, now: Monotonic, outstanding: u32) {
        let number = slot_number(now);
        let packed = (number << COUNT_BITS) | u64::from(outstanding);
        self.slots[number as usize % SLOT_COUNT].store(packed, Ordering::Relaxed);
    }

    /// Returns the own requests outstanding at `at`, or `None` if nothing was noted before then.
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
