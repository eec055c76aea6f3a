//! The grants of one account on the VM that holds them, until the last report on each.

use std::sync::Arc;
use std::time::Duration;

use super::Lot;
use super::LotReport;
use super::TokenPool;
use crate::catalog::VmKey;
use crate::clock::Monotonic;

/// The number of times that a last report is sent.
const LAST_REPORT_COUNT: u8 = 2;

/// The most reports in one draw.
const REPORTS_PER_DRAW: usize = 16;

/// The grants of one account on the VM that holds them, until the last report on each.
#[derive(Debug, Default)]
pub struct HeldLots {
    lots: Vec<HeldLot>,
    given_up: Vec<GivenUp>,
}

#[derive(Debug)]
struct HeldLot {
    lot: Arc<Lot>,
    home: VmKey,
    received_at: Monotonic,
    is_closed: bool,
    sent_report: LotReport,
    last_reports_left: u8,
}

/// A draw whose grant will not be taken any more.
#[derive(Clone, Copy, Debug)]
struct GivenUp {
    number: u32,
    home: VmKey,
    reports_left: u8,
}

impl HeldLots {
    /// Adds the lot of a grant.
    pub fn add(&mut self, now: Monotonic, home: VmKey, lot: Arc<Lot>, pool: &TokenPool) {
        let sent_report = lot.report();
        self.lots.push(HeldLot {
            lot,
            home,
            received_at: now,
            is_closed: false,
            sent_report,
            last_reports_left: LAST_REPORT_COUNT,
        });
        self.publish(pool);
    }

    /// Tells the home, with the next reports, that a draw is given up.
    pub fn give_up(&mut self, number: u32, home: VmKey) {
        self.given_up.push(GivenUp {
            number,
            home,
            reports_left: LAST_REPORT_COUNT,
        });
    }

    /// Returns the tokens that can be reserved for at least `time` from `now` on.
    pub fn available_tokens(&self, now: Monotonic, time: Duration) -> u64 {
        self.lots
            .iter()
            .filter(|held| !held.is_closed)
            .map(|held| held.lot.available_tokens(now + time))
            .sum()
    }

    /// Closes lots that have expired, and forgets those that are older than `refund_window`.
    pub fn close_expired(&mut self, now: Monotonic, refund_window: Duration, pool: &TokenPool) {
        let old_len = self.lots.len();
        self.lots
            .retain(|held| now.since(held.received_at) < refund_window);
        let mut is_changed = self.lots.len() != old_len;
        for held in &mut self.lots {
            if !held.is_closed && now >= held.lot.expires_at() {
                held.close();
                is_changed = true;
            }
        }
        if is_changed {
            self.publish(pool);
        }
    }

    /// Closes lots older than `idle_time` as long as `keep_tokens` are left.
    pub fn close_idle(
        &mut self,
        now: Monotonic,
        keep_tokens: u64,
        idle_time: Duration,
        pool: &TokenPool,
    ) {
        let mut left_tokens = self.available_tokens(now, Duration::ZERO);
        let mut is_changed = false;
        for held in &mut self.lots {
            let lot_tokens = held.lot.available_tokens(now);
            let is_idle = now.since(held.received_at) >= idle_time;
            if !held.is_closed && is_idle && left_tokens >= keep_tokens + lot_tokens {
                left_tokens -= lot_tokens;
                held.close();
                is_changed = true;
            }
        }
        if is_changed {
            self.publish(pool);
        }
    }

    /// Returns the tokens that no home knows yet to be free again.
    pub fn unreported_tokens(&self) -> u64 {
        self.lots.iter().map(HeldLot::unreported_tokens).sum()
    }

    /// Returns the homes that a report is due to.
    pub fn homes_to_report(&self) -> Vec<VmKey> {
        let mut homes: Vec<VmKey> = self
            .lots
            .iter()
            .filter(|held| held.needs_report())
            .map(|held| held.home)
            .chain(self.given_up.iter().map(|given_up| given_up.home))
            .collect();
        homes.sort();
        homes.dedup();
        homes
    }

    /// Takes the reports that are due to `home`.
    pub fn take_reports(&mut self, home: VmKey) -> Vec<LotReport> {
        let mut reports = Vec::new();
        for held in &mut self.lots {
            if reports.len() == REPORTS_PER_DRAW {
                break;
            }
            if held.home == home && held.needs_report() {
                reports.push(held.take_report());
            }
        }
        for given_up in &mut self.given_up {
            if reports.len() < REPORTS_PER_DRAW && given_up.home == home {
                given_up.reports_left -= 1;
                reports.push(LotReport::given_up(given_up.number));
            }
        }
        self.given_up.retain(|given_up| given_up.reports_left > 0);
        self.lots.retain(|held| !held.is_done());
        reports
    }

    /// Tells whether nothing is left to spend or to report.
    pub fn is_empty(&self) -> bool {
        self.lots.is_empty() && self.given_up.is_empty()
    }

    fn publish(&self, pool: &TokenPool) {
        let mut open: Vec<Arc<Lot>> = self
            .lots
            .iter()
            .filter(|held| !held.is_closed)
            .map(|held| Arc::clone(&held.lot))
            .collect();
        open.sort_by_key(|lot| lot.expires_at());
        pool.put_lots(open);
    }
}

impl HeldLot {
    fn close(&mut self) {
        self.lot.close();
        self.is_closed = true;
    }

    fn needs_report(&self) -> bool {
        let is_last = self.is_closed && self.lot.is_settled();
        is_last || self.lot.report() != self.sent_report
    }

    fn unreported_tokens(&self) -> u64 {
        let report = self.lot.report();
        let free_tokens = report.refunded_tokens + report.returned_tokens;
        let sent_tokens = self.sent_report.refunded_tokens + self.sent_report.returned_tokens;
        u64::from(free_tokens.saturating_sub(sent_tokens))
    }

    fn take_report(&mut self) -> LotReport {
        let report = self.lot.report();
        if self.is_closed && self.lot.is_settled() {
            self.last_reports_left = self.last_reports_left.saturating_sub(1);
        }
        self.sent_report = report;
        report
    }

    fn is_done(&self) -> bool {
        self.last_reports_left == 0
    }
}

impl LotReport {
    /// Returns the report on a draw whose grant will not be taken any more.
    pub fn given_up(number: u32) -> Self {
        Self {
            number,
            spent_tokens: 0,
            used_tokens: 0,
            refunded_tokens: 0,
            returned_tokens: u32::MAX,
        }
    }
}
