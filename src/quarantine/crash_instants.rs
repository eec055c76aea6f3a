//! When endpoints crashed, to tell outages from single crashes.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use super::CrashReport;
use super::EventTime;
use super::InstanceHash;

/// Crashes of several endpoints within this time of each other are an outage.
const OUTAGE_SPREAD: Duration = Duration::from_millis(30);

/// The number of endpoints that crash together in an outage.
const OUTAGE_ENDPOINTS: usize = 3;

/// The largest number of crashes that are kept.
const INSTANTS_MAX: usize = 512;

/// The times at which endpoints broke off answers to this VM.
#[derive(Debug, Default)]
pub(super) struct CrashInstants {
    instants: VecDeque<(InstanceHash, EventTime)>,
}

impl CrashInstants {
    /// Records that an endpoint broke off an answer.
    pub(super) fn record(&mut self, endpoint: InstanceHash, crashed_at: EventTime) {
        let is_known = self
            .instants
            .iter()
            .any(|(other, at)| *other == endpoint && is_together(*at, crashed_at));
        if is_known {
            return;
        }
        self.instants.push_back((endpoint, crashed_at));
        if self.instants.len() > INSTANTS_MAX {
            self.instants.pop_front();
        }
    }

    /// Returns whether several endpoints crashed at about a time, by these times and by `reports`.
    pub(super) fn is_outage(&self, crashed_at: EventTime, reports: &[CrashReport]) -> bool {
        let reported = reports
            .iter()
            .map(|report| (report.endpoint, report.crashed_at));
        let endpoints: BTreeSet<InstanceHash> = reported
            .chain(self.instants.iter().copied())
            .filter(|(_, at)| is_together(*at, crashed_at))
            .map(|(endpoint, _)| endpoint)
            .collect();
        endpoints.len() >= OUTAGE_ENDPOINTS
    }
}

fn is_together(one: EventTime, other: EventTime) -> bool {
    !one.is_later_by(OUTAGE_SPREAD, other) && !other.is_later_by(OUTAGE_SPREAD, one)
}
