//! Endpoints whose records lapsed during an outage of the store.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Monotonic;
use crate::deployment::EndpointListing;
use crate::deployment::EndpointPhase;
use crate::deployment::EndpointRecord;
use crate::deployment::InstanceId;

/// The longest gap between two reads after which a missing record means that the endpoint left.
///
/// Records lapse after three missed heartbeats; a longer gap may hide an outage of the store.
const READ_GAP_MAX: Duration = Duration::from_millis(2_500);

/// How long a lapsed record is kept in the listing.
///
/// Live endpoints register again within about 2 s of the store's return; one read comes on top.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(2_600);

/// Keeps endpoints in the listing whose records lapsed while the store could not be read.
///
/// Each record is held until it expires or its endpoint registers again.
#[derive(Debug, Default)]
pub(super) struct LapsedRecords {
    records: BTreeMap<InstanceId, (EndpointRecord, Monotonic)>,
}

impl LapsedRecords {
    /// Returns whether records may have lapsed since the previous read of the store.
    pub(super) fn may_have_lapsed(now: Monotonic, previous_read_at: Option<Monotonic>) -> bool {
        previous_read_at.is_some_and(|at| now.since(at) > READ_GAP_MAX)
    }

    /// Holds the ready endpoints of a listing, as their records may lapse in the next one.
    pub(super) fn hold_ready(&mut self, now: Monotonic, listing: &EndpointListing) {
        for record in listing.endpoints.iter().filter(|record| is_ready(record)) {
            self.records
                .entry(record.instance.clone())
                .or_insert_with(|| (record.clone(), now + REGISTRATION_TIMEOUT));
        }
    }

    /// Adds the endpoints that are held to a listing, unless it contains them or others at their
    /// addresses.
    pub(super) fn restore(&mut self, now: Monotonic, new: &mut EndpointListing) {
        self.records.retain(|instance, (record, expires_at)| {
            let is_replaced = new.endpoints.iter().any(|endpoint| {
                endpoint.instance.id == instance.id || endpoint.address == record.address
            });
            now < *expires_at && !is_replaced
        });
        if self.records.is_empty() {
            return;
        }
        let records = self.records.values().map(|(record, _)| record.clone());
        new.endpoints.extend(records);
        new.endpoints.sort_by(|a, b| a.instance.cmp(&b.instance));
    }
}

fn is_ready(record: &EndpointRecord) -> bool {
    record.phase == EndpointPhase::Ready
}
