//! What a VM still knows after the store was restored from a backup.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Monotonic;
use crate::deployment::EndpointListing;
use crate::deployment::EndpointPhase;
use crate::deployment::EndpointRecord;
use crate::deployment::InstanceId;
use crate::deployment::ListingVersion;
use crate::deployment::ZoneKey;

/// The time after a restoration in which operators and endpoints repeat the writes that were lost.
///
/// Live endpoints register again within about 2 s of the store's return; one read comes on top.
const REWRITE_TIMEOUT: Duration = Duration::from_millis(2_600);

/// How long an endpoint that left is remembered: longer than any drain and any age of a backup.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(120);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DepartureKind {
    Draining,
    Removed,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    kind: DepartureKind,
    /// The sequence number of the record by which the departure is known.
    sequence: u64,
    era: u64,
    observed_at: Monotonic,
}

impl Departure {
    /// Returns whether a listed record was written before the departure.
    ///
    /// Within an era the store is linearizable, and a removed record that is listed again was
    /// written again. A restored store may list the record that was there before the removal.
    fn outdates(&self, record: &EndpointRecord, era: u64) -> bool {
        record.sequence <= self.sequence && (self.kind == DepartureKind::Draining || era > self.era)
    }
}

/// Keeps what was acknowledged before the store was restored from a backup, until the store
/// contains it again or something newer.
///
/// Endpoints that drained or left stay so until a record with a higher sequence number arrives.
/// Evacuated zones stay evacuated for [`REWRITE_TIMEOUT`].
#[derive(Debug, Default)]
pub(super) struct RestoredStore {
    departures: BTreeMap<InstanceId, Departure>,
    evacuated: BTreeMap<ZoneKey, Monotonic>,
    settles_at: Monotonic,
}

impl RestoredStore {
    /// Returns whether lost writes may still be missing from the store.
    pub(super) fn is_settling(&self, at: Monotonic) -> bool {
        at < self.settles_at
    }

    /// Records that the store was restored while `held` was the listing.
    pub(super) fn on_restored(&mut self, now: Monotonic, held: &EndpointListing) {
        self.settles_at = now + REWRITE_TIMEOUT;
        let zones = held.evacuated.iter().map(|zone| (*zone, self.settles_at));
        self.evacuated.extend(zones);
    }

    /// Replaces outdated records of a listing by what is known.
    pub(super) fn correct(&mut self, now: Monotonic, era: u64, listing: &mut EndpointListing) {
        let departures = &self.departures;
        let departure_of = |record: &EndpointRecord| {
            let departure = departures.get(&record.instance)?;
            departure.outdates(record, era).then_some(departure.kind)
        };
        listing
            .endpoints
            .retain(|record| departure_of(record) != Some(DepartureKind::Removed));
        for record in &mut listing.endpoints {
            if departure_of(record) == Some(DepartureKind::Draining) {
                record.phase = EndpointPhase::Draining;
            }
        }
        self.evacuated.retain(|_, expires_at| now < *expires_at);
        listing.evacuated.extend(self.evacuated.keys());
    }

    /// Records the endpoints that drain in `new`, and those of `old` that are no longer listed.
    pub(super) fn observe(
        &mut self,
        now: Monotonic,
        version: ListingVersion,
        old: &EndpointListing,
        new: &EndpointListing,
    ) {
        let mut record_departure = |record: &EndpointRecord, kind| {
            let departure = Departure {
                kind,
                sequence: record.sequence,
                era: version.era,
                observed_at: now,
            };
            self.departures.insert(record.instance.clone(), departure);
        };
        for record in &new.endpoints {
            if record.phase == EndpointPhase::Draining {
                record_departure(record, DepartureKind::Draining);
            }
        }
        for record in &old.endpoints {
            // Listings are sorted by instance.
            let is_listed = new
                .endpoints
                .binary_search_by(|other| other.instance.cmp(&record.instance))
                .is_ok();
            if !is_listed {
                record_departure(record, DepartureKind::Removed);
            }
        }
        self.departures
            .retain(|_, departure| now.since(departure.observed_at) < DEPARTURE_RETENTION);
    }
}
