//! For how long the listing has been confirmed without a gap.

use std::time::Duration;

use crate::clock::Monotonic;

/// The longest time between two confirmations: after a longer one, records that lapsed are held for a time.
const GAP_MAX: Duration = Duration::from_millis(2_500);

/// The time over which the listing was confirmed again and again.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ListingRun {
    pub(super) since: Monotonic,
    pub(super) confirmed_at: Monotonic,
}

impl ListingRun {
    pub(super) fn on_confirmed(&mut self, confirmed_at: Monotonic) {
        if confirmed_at > self.confirmed_at + GAP_MAX {
            self.since = confirmed_at;
        }
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
    }
}
