//! Whether the software version in an endpoint's record is that of its present process.

use std::time::Duration;

use crate::clock::Monotonic;
use crate::deployment::SoftwareVersion;

/// The age of a listing beyond which endpoints may have started again at another version.
const LISTING_AGE_MAX: Duration = Duration::from_millis(5_000);

/// The time after which the record of an endpoint that ended has lapsed, or lists its new start:
/// three heartbeats, a read and a round of gossip.
const RECORD_LAPSE_TIME: Duration = Duration::from_millis(5_000);

/// A software version that an endpoint must have, by a listing that is still current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionConstraint {
    /// The version.
    pub version: SoftwareVersion,
    /// When the listing was confirmed.
    pub listing_confirmed_at: Monotonic,
}

/// Until when an endpoint may have started again, under its identifier and at another version, without
/// the listing saying so.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct VersionDoubt {
    until: Option<Monotonic>,
}

impl VersionDoubt {
    /// Records that the process has ended.
    pub(super) fn on_ended(&mut self, at: Monotonic) {
        self.until = self.until.max(Some(at + RECORD_LAPSE_TIME));
    }

    /// Returns whether a listing with this confirmation time tells the version of the present process.
    pub(super) fn is_resolved(self, now: Monotonic, listing_confirmed_at: Monotonic) -> bool {
        now.since(listing_confirmed_at) <= LISTING_AGE_MAX
            && self.until.is_none_or(|until| listing_confirmed_at >= until)
    }
}
