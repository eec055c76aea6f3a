//! When endpoints crashed, to tell outages from single crashes.

use std::collections::BTreeMap;
use std::time::Duration;

use super::EventTime;
use super::InstanceHash;

/// Crashes of several endpoints within this time of each other are an outage.
const OUTAGE_SPREAD: Duration = Duration::from_millis(100);

/// The number of endpoints that crash together in an outage.
const OUTAGE_ENDPOINTS: usize = 3;

/// The largest number of crashes that are kept.
const INSTANTS_MAX: usize = 256;

/// The times at which endpoints crashed.
#[derive(Debug, Default)]
pub(super) struct CrashInstants {
    by_endpoint: BTreeMap<InstanceHash, EventTime>,
}

impl CrashInstants {
    /// Records a crash; the earliest time that is heard of an endpoint is kept.
    pub(super) fn record(&mut self, endpoint: InstanceHash, crashed_at: EventTime) {
        let first = self.by_endpoint.entry(endpoint).or_insert(crashed_at);
        *first = crashed_at.min(*first);
        if self.by_endpoint.len() > INSTANTS_MAX {
            let oldest = self.by_endpoint.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(endpoint, _)| *endpoint) {
                self.by_endpoint.remove(&oldest);
            }
        }
    }

    /// Returns whether an endpoint crashed together with others.
    pub(super) fn is_in_outage(&self, endpoint: InstanceHash) -> bool {
        let Some(crashed_at) = self.by_endpoint.get(&endpoint) else {
            return false;
        };
        let together = self.by_endpoint.values().filter(|other| {
            !other.is_later_by(OUTAGE_SPREAD, *crashed_at)
                && !crashed_at.is_later_by(OUTAGE_SPREAD, **other)
        });
        together.count() >= OUTAGE_ENDPOINTS
    }
}
