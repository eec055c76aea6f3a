//! When the availability zones were last evacuated.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock::Monotonic;
use crate::deployment::ZoneKey;

/// The evacuated availability zones, and when earlier evacuations ended.
///
/// They are kept apart from the endpoints, as an endpoint may be missing in the listing for a time, and is
/// cold after an evacuation all the same.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneEvacuations {
    evacuated: BTreeSet<ZoneKey>,
    ended_at: BTreeMap<ZoneKey, Monotonic>,
}

impl ZoneEvacuations {
    /// Applies the zones that are evacuated now.
    pub(super) fn update(&mut self, now: Monotonic, evacuated: &BTreeSet<ZoneKey>) {
        let ended = self.evacuated.difference(evacuated);
        self.ended_at.extend(ended.map(|zone| (*zone, now)));
        self.evacuated.clone_from(evacuated);
    }

    /// Returns when the last evacuation of a zone ended, if one did.
    pub(super) fn ended_at(&self, zone: ZoneKey) -> Option<Monotonic> {
        self.ended_at.get(&zone).copied()
    }
}
