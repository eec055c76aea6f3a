//! The estimated load of an endpoint from all VMs.

use std::time::Duration;

use super::backlog::Backlog;
use crate::clock::Monotonic;

/// The age at which a report no longer says anything about the requests of other VMs.
const REPORT_AGE_MAX: Duration = Duration::from_millis(3_000);

/// The load that an endpoint reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct Report {
    at: Monotonic,
    pub(super) total_requests: u32,
    local_requests: u32,
}

impl Report {
    pub(super) const fn others_requests(&self) -> u32 {
        self.total_requests.saturating_sub(self.local_requests)
    }
}

/// The requests at an endpoint: those of this VM are counted, those of other VMs are derived from
/// the load that the endpoint reports with its answers.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadEstimate {
    local_requests: u32,
    local_backlog: Backlog,
    report: Option<Report>,
}

impl LoadEstimate {
    pub(super) const fn local_requests(&self) -> u32 {
        self.local_requests
    }

    /// Returns the prompts of the requests of this VM whose first event is still pending.
    pub(super) const fn local_backlog(&self) -> &Backlog {
        &self.local_backlog
    }

    pub(super) fn on_sent(&mut self, priority: u8, prefill_tokens: u64) {
        self.local_requests += 1;
        self.local_backlog.add(priority, prefill_tokens);
    }

    pub(super) fn on_first_event(&mut self, priority: u8, prefill_tokens: u64) {
        self.local_backlog.remove(priority, prefill_tokens);
    }

    pub(super) fn on_done(&mut self) {
        self.local_requests = self.local_requests.saturating_sub(1);
    }

    pub(super) fn on_report(&mut self, now: Monotonic, running: u32, waiting: u32) {
        self.report = Some(Report {
            at: now,
            total_requests: running.saturating_add(waiting),
            local_requests: self.local_requests,
        });
    }

    /// Returns whether the endpoint has reported its load.
    pub(super) const fn is_reported(&self) -> bool {
        self.report.is_some()
    }

    /// Returns the last report if it is not older than `age_max`.
    pub(super) fn recent_report(&self, now: Monotonic, age_max: Duration) -> Option<Report> {
        self.report.filter(|report| now.since(report.at) < age_max)
    }

    /// Returns the requests that ran or waited at the endpoint by its last report, if that is recent and
    /// not older than `since`.
    pub(super) fn reported_requests(&self, now: Monotonic, since: Monotonic) -> Option<u32> {
        let report = self.recent_report(now, REPORT_AGE_MAX);
        let report = report.filter(|report| report.at >= since)?;
        Some(report.total_requests)
    }

    /// Returns the requests of all VMs that run or wait at the endpoint.
    pub(super) fn total_requests(&self, now: Monotonic) -> u32 {
        let others = self.recent_report(now, REPORT_AGE_MAX);
        self.local_requests + others.map_or(0, |report| report.others_requests())
    }
}
