//! The grants of one account on the VM that holds them, each until its final report.

use std::sync::Arc;
use std::time::Duration;

use super::HeldGrant;
use super::LotReport;
use super::TokenPool;
use crate::catalog::VmKey;
use crate::clock::Monotonic;

/// The number of times that a final report is sent.
const FINAL_REPORT_COUNT: u8 = 1;

/// The most reports in one draw.
const REPORTS_PER_DRAW: usize = 16;

/// The grants of one account on the VM that holds them, each until its final report.
#[derive(Debug, Default)]
pub struct HeldGrants {
    grants: Vec<TrackedGrant>,
    abandoned: Vec<AbandonedDraw>,
}

#[derive(Debug)]
struct TrackedGrant {
    grant: Arc<HeldGrant>,
    home: VmKey,
    received_at: Monotonic,
    is_closed: bool,
    sent_report: LotReport,
    final_reports_left: u8,
}

/// A draw whose grant will not be accepted any more.
#[derive(Clone, Copy, Debug)]
struct AbandonedDraw {
    number: u32,
    home: VmKey,
    reports_left: u8,
}

impl HeldGrants {
    /// Adds a grant of `home`.
    pub fn add(&mut self, now: Monotonic, home: VmKey, grant: Arc<HeldGrant>, pool: &TokenPool) {
        let sent_report = grant.report();
        self.grants.push(TrackedGrant {
            grant,
            home,
            received_at: now,
            is_closed: false,
            sent_report,
            final_reports_left: FINAL_REPORT_COUNT,
        });
        self.publish(pool);
    }

    /// Abandons a draw; the next reports to `home` return its whole grant.
    pub fn abandon(&mut self, number: u32, home: VmKey) {
        self.abandoned.push(AbandonedDraw {
            number,
            home,
            reports_left: FINAL_REPORT_COUNT,
        });
    }

    /// Returns the tokens that can still be reserved `time` after `now`.
    pub fn available_tokens(&self, now: Monotonic, time: Duration) -> u64 {
        self.grants
            .iter()
            .filter(|tracked| !tracked.is_closed)
            .map(|tracked| tracked.grant.available_tokens(now + time))
            .sum()
    }

    /// Closes grants that have expired, and forgets those that are older than `refund_window`.
    pub fn close_expired(&mut self, now: Monotonic, refund_window: Duration, pool: &TokenPool) {
        let old_len = self.grants.len();
        self.grants
            .retain(|tracked| now.since(tracked.received_at) < refund_window);
        let mut is_changed = self.grants.len() != old_len;
        for tracked in &mut self.grants {
            if !tracked.is_closed && now >= tracked.grant.expires_at() {
                tracked.close();
                is_changed = true;
            }
        }
        if is_changed {
            self.publish(pool);
        }
    }

    /// Closes grants older than `idle_time` as long as `keep_tokens` are left.
    pub fn close_idle(
        &mut self,
        now: Monotonic,
        keep_tokens: u64,
        idle_time: Duration,
        pool: &TokenPool,
    ) {
        let mut left_tokens = self.available_tokens(now, Duration::ZERO);
        let mut is_changed = false;
        for tracked in &mut self.grants {
            let grant_tokens = tracked.grant.available_tokens(now);
            let is_idle = now.since(tracked.received_at) >= idle_time;
            if !tracked.is_closed && is_idle && left_tokens >= keep_tokens + grant_tokens {
                left_tokens -= grant_tokens;
                tracked.close();
                is_changed = true;
            }
        }
        if is_changed {
            self.publish(pool);
        }
    }

    /// Returns the refunded and returned tokens that were not reported yet.
    pub fn unreported_tokens(&self) -> u64 {
        self.grants
            .iter()
            .map(TrackedGrant::unreported_tokens)
            .sum()
    }

    /// Returns the homes that a report is due to.
    pub fn homes_to_report(&self) -> Vec<VmKey> {
        let mut homes: Vec<VmKey> = self
            .grants
            .iter()
            .filter(|tracked| tracked.needs_report())
            .map(|tracked| tracked.home)
            .chain(self.abandoned.iter().map(|abandoned| abandoned.home))
            .collect();
        homes.sort();
        homes.dedup();
        homes
    }

    /// Takes the reports that are due to `home`.
    pub fn take_reports(&mut self, home: VmKey) -> Vec<LotReport> {
        let mut reports = Vec::new();
        for tracked in &mut self.grants {
            if reports.len() == REPORTS_PER_DRAW {
                break;
            }
            if tracked.home == home && tracked.needs_report() {
                reports.push(tracked.take_report());
            }
        }
        for abandoned in &mut self.abandoned {
            if reports.len() < REPORTS_PER_DRAW && abandoned.home == home {
                abandoned.reports_left -= 1;
                reports.push(LotReport::abandoned(abandoned.number));
            }
        }
        self.abandoned
            .retain(|abandoned| abandoned.reports_left > 0);
        self.grants.retain(|tracked| !tracked.is_done());
        reports
    }

    /// Returns whether nothing is left to reserve or to report.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty() && self.abandoned.is_empty()
    }

    fn publish(&self, pool: &TokenPool) {
        let mut open: Vec<Arc<HeldGrant>> = self
            .grants
            .iter()
            .filter(|tracked| !tracked.is_closed)
            .map(|tracked| Arc::clone(&tracked.grant))
            .collect();
        open.sort_by_key(|grant| grant.expires_at());
        pool.put_grants(open);
    }
}

impl TrackedGrant {
    fn close(&mut self) {
        self.grant.close();
        self.is_closed = true;
    }

    fn needs_report(&self) -> bool {
        let is_final = self.is_closed && self.grant.is_settled();
        is_final || self.grant.report() != self.sent_report
    }

    fn unreported_tokens(&self) -> u64 {
        let report = self.grant.report();
        let free_tokens = report.refunded_tokens + report.returned_tokens;
        let sent_tokens = self.sent_report.refunded_tokens + self.sent_report.returned_tokens;
        u64::from(free_tokens.saturating_sub(sent_tokens))
    }

    fn take_report(&mut self) -> LotReport {
        let report = self.grant.report();
        if self.is_closed && self.grant.is_settled() {
            self.final_reports_left = self.final_reports_left.saturating_sub(1);
        }
        self.sent_report = report;
        report
    }

    fn is_done(&self) -> bool {
        self.final_reports_left == 0
    }
}

impl LotReport {
    /// Returns the report on an abandoned draw, which returns the whole grant.
    pub fn abandoned(number: u32) -> Self {
        Self {
            number,
            spent_tokens: 0,
            used_tokens: 0,
            refunded_tokens: 0,
            returned_tokens: u32::MAX,
        }
    }
}
