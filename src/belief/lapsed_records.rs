//! Endpoints whose records vanished while the store was away.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Monotonic;
use crate::deployment::EndpointListing;
use crate::deployment::EndpointPhase;
use crate::deployment::EndpointRecord;
use crate::deployment::InstanceId;

/// The longest pause between two reads in which a vanished record means that the endpoint left.
///
/// Records lapse after three beats of silence; a longer pause may hide an outage of the store.
const STORE_PAUSE_MAX: Duration = Duration::from_millis(2_500);

/// Live endpoints are registered again within about 2 s of the store's return, plus one read.
const REGISTRATION_WAIT: Duration = Duration::from_millis(2_600);

/// Keeps endpoints in the listing whose records lapsed while the store could not be read.
#[derive(Debug, Default)]
pub(super) struct LapsedRecords {
    records: BTreeMap<InstanceId, (EndpointRecord, Monotonic)>,
}

impl LapsedRecords {
    /// Adds to `new` the endpoints of `old` that may only have lapsed.
    pub(super) fn restore(
        &mut self,
        now: Monotonic,
        old: &EndpointListing,
        new: &mut EndpointListing,
        previous_read_at: Option<Monotonic>,
    ) {
        let had_pause = previous_read_at.is_some_and(|at| now.since(at) > STORE_PAUSE_MAX);
        if had_pause {
            for record in old.endpoints.iter().filter(|record| is_ready(record)) {
                self.records
                    .entry(record.instance.clone())
                    .or_insert_with(|| (record.clone(), now + REGISTRATION_WAIT));
            }
        }
        self.records.retain(|instance, (record, until)| {
            let is_replaced = new.endpoints.iter().any(|endpoint| {
                endpoint.instance.id == instance.id || endpoint.address == record.address
            });
            now < *until && !is_replaced
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
