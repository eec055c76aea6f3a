//! The draws of one account on one VM.

use std::sync::Arc;
use std::time::Duration;

use super::demand::Demand;
use super::draw_target::DrawTarget;
use super::draw_target::GrantOutcome;
use super::draw_target::OutgoingDraw;
use super::held_grants::HeldGrants;
use super::region_homes::RegionHomes;
use super::AccountDraw;
use super::AccountGrant;
use super::DenialReason;
use super::HeldGrant;
use super::LimitsSettings;
use super::TokenPool;
use crate::catalog::ClientAccountKey;
use crate::catalog::RegionKey;
use crate::catalog::VmKey;
use crate::clock::Monotonic;

/// The shortest backoff from a home that granted too little.
const RETRY_MIN: Duration = Duration::from_millis(50);

/// The longest backoff from a home that granted too little; also the backoff after a timeout.
const RETRY_MAX: Duration = Duration::from_millis(400);

/// The shortest time between two draws ahead of need.
const AHEAD_INTERVAL_MIN: Duration = Duration::from_millis(500);

/// The shortest time between two reports, unless a periodic round is due.
const REPORT_INTERVAL_MIN: Duration = Duration::from_millis(200);

/// The part of the burst that is reported early once it is free again, as a divisor.
const REPORT_DIVISOR: u64 = 64;

/// The most of the burst that a VM draws ahead of need, as a divisor.
const AHEAD_DIVISOR: u64 = 32;

/// The least number of expected requests for which tokens are drawn ahead of need.
const AHEAD_REQUESTS: f64 = 4.0;

/// The most draws from remote regions that are in flight at the same time.
const PARALLEL_DRAWS: usize = 2;

/// The draws of one account on one VM.
///
/// Waiting requests draw from the home of the local region first, then from the homes of remote
/// regions, nearest first, with the need split evenly among them. A home that granted too little or
/// did not answer is skipped until a backoff has passed.
#[derive(Debug)]
pub struct AccountDraws {
    account: ClientAccountKey,
    pool: Arc<TokenPool>,
    grants: HeldGrants,
    demand: Demand,
    pending: Vec<PendingDraw>,
    need: Need,
    last_number: u32,
    ahead_at: Monotonic,
    reported_at: Monotonic,
    region_homes: RegionHomes,
    burst_tokens: u64,
    is_report_due: bool,
    is_scarce: bool,
}

#[derive(Clone, Copy, Debug)]
struct PendingDraw {
    number: u32,
    target: DrawTarget,
    need_tokens: u64,
    sent_at: Monotonic,
}

#[derive(Clone, Copy, Debug, Default)]
struct Need {
    tokens: u64,
    unit_tokens: u64,
}

impl AccountDraws {
    /// Creates the draws of an account; their numbers start after `last_number`.
    pub fn new(
        now: Monotonic,
        account: ClientAccountKey,
        pool: Arc<TokenPool>,
        last_number: u32,
    ) -> Self {
        let mut demand = Demand::default();
        demand.sample(now, &pool);
        Self {
            account,
            pool,
            grants: HeldGrants::default(),
            demand,
            pending: Vec::new(),
            need: Need::default(),
            last_number,
            ahead_at: Monotonic::ZERO,
            reported_at: now,
            region_homes: RegionHomes::default(),
            burst_tokens: 0,
            is_report_due: false,
            is_scarce: true,
        }
    }

    /// Sets the published burst of the account over all regions.
    pub fn put_burst(&mut self, burst_tokens: u64) {
        self.burst_tokens = burst_tokens;
    }

    /// Returns the number of the last draw.
    pub fn last_number(&self) -> u32 {
        self.last_number
    }

    /// Adds the tokens that one more waiting request lacks.
    pub fn add_need(&mut self, missing_tokens: u64) {
        let is_first = self.need.tokens == 0;
        self.need.tokens += missing_tokens;
        if is_first || missing_tokens < self.need.unit_tokens {
            self.need.unit_tokens = missing_tokens;
        }
    }

    /// Returns the home of a region that answered the last draw, if any.
    pub fn known_home(&self, region: RegionKey) -> Option<VmKey> {
        self.region_homes.home(region)
    }

    /// Samples the demand, abandons unanswered draws, and closes expired and surplus grants.
    pub fn maintain(&mut self, now: Monotonic, settings: &LimitsSettings) {
        self.demand.sample(now, &self.pool);
        self.abandon_unanswered(now, settings.draw_timeout);
        self.grants
            .close_expired(now, settings.refund_window, &self.pool);
        if self.need.tokens == 0 && self.is_scarce {
            let keep_tokens = 2 * self.ahead_target_tokens(settings);
            self.grants
                .close_idle(now, keep_tokens, settings.idle_return, &self.pool);
        }
    }

    /// Returns whether a draw may be due, before its targets are looked up.
    pub fn may_draw(&self, now: Monotonic, settings: &LimitsSettings) -> bool {
        self.need.tokens > 0 || self.wanted_ahead_tokens(now, settings) > 0
    }

    /// Returns the draws that are due; `targets` has the local region first if `is_first_local`,
    /// then the remote regions by distance.
    pub fn due(
        &mut self,
        now: Monotonic,
        targets: &[DrawTarget],
        is_first_local: bool,
        settings: &LimitsSettings,
    ) -> Vec<OutgoingDraw> {
        let ahead_tokens = self.wanted_ahead_tokens(now, settings);
        let picked = self.pick_targets(now, targets, is_first_local, ahead_tokens);
        let unrequested_tokens = self.unrequested_need_tokens();
        let part_tokens = unrequested_tokens.div_ceil(picked.len().max(1) as u64);
        picked
            .into_iter()
            .map(|target| self.draw(now, target, part_tokens, ahead_tokens))
            .collect()
    }

    /// Drops the need of waiting requests and returns the reason, if no draw is in flight and no
    /// region may be drawn from now.
    pub fn deny_need(&mut self, now: Monotonic, targets: &[DrawTarget]) -> Option<DenialReason> {
        if self.need.tokens == 0 || !self.pending.is_empty() {
            return None;
        }
        let retry_at = targets
            .iter()
            .map(|target| self.region_homes.retry_at(target.region))
            .min();
        if retry_at.is_some_and(|retry_at| retry_at <= now) {
            return None;
        }
        self.pool.put_retry_at(retry_at.unwrap_or(now + RETRY_MAX));
        self.need = Need::default();
        self.return_all(now);
        let has_home = targets
            .iter()
            .any(|target| self.known_home(target.region).is_some());
        Some(if has_home {
            DenialReason::Spent
        } else {
            DenialReason::NoHome
        })
    }

    /// Returns the reports that are due apart from draws: in each periodic round, and early if much
    /// of the burst is free again.
    pub fn due_reports(&mut self, now: Monotonic, is_round: bool) -> Vec<OutgoingDraw> {
        let is_much = self.grants.unreported_tokens() > self.burst_tokens / REPORT_DIVISOR;
        let is_early = self.is_report_due || is_much;
        let is_due = is_early && now.since(self.reported_at) >= REPORT_INTERVAL_MIN;
        if !is_round && !is_due {
            return Vec::new();
        }
        self.reported_at = now;
        self.is_report_due = false;
        let homes = self.grants.homes_to_report();
        homes.into_iter().map(|home| self.report(home)).collect()
    }

    /// Adds the tokens of a grant, unless its draw was abandoned or the grant has expired.
    pub fn on_grant(&mut self, now: Monotonic, from: VmKey, grant: &AccountGrant) -> GrantOutcome {
        let index = self
            .pending
            .iter()
            .position(|pending| pending.number == grant.number);
        let Some(index) = index else {
            self.grants.abandon(grant.number, from);
            return GrantOutcome::Stale;
        };
        let pending = self.pending.swap_remove(index);
        let expires_at = pending.sent_at + grant.lifetime;
        if now >= expires_at && grant.tokens > 0 {
            self.grants.abandon(grant.number, from);
            return GrantOutcome::Stale;
        }
        self.record_home(now, from, &pending, grant);
        if grant.tokens == 0 {
            return GrantOutcome::Empty;
        }
        let held = Arc::new(HeldGrant::new(grant.number, grant.tokens, expires_at));
        self.grants.add(now, from, held, &self.pool);
        self.need.tokens = self.need.tokens.saturating_sub(u64::from(grant.tokens));
        GrantOutcome::Arrived
    }

    /// Returns whether no request waits, no draw is in flight, and no grant is held or to be
    /// reported.
    pub fn is_idle(&self) -> bool {
        self.need.tokens == 0 && self.pending.is_empty() && self.grants.is_empty()
    }

    /// Returns tokens that were too few for the waiting requests, so that another VM can use them.
    fn return_all(&mut self, now: Monotonic) {
        self.grants.close_idle(now, 0, Duration::ZERO, &self.pool);
        self.is_report_due = true;
    }

    fn record_home(
        &mut self,
        now: Monotonic,
        from: VmKey,
        pending: &PendingDraw,
        grant: &AccountGrant,
    ) {
        // A draw ahead of need may get nothing while waiting requests would get tokens.
        let is_short = u64::from(grant.tokens) < pending.need_tokens;
        self.is_scarce = !grant.retry_after.is_zero();
        let backoff = grant.retry_after.clamp(RETRY_MIN, RETRY_MAX);
        let retry_at = is_short.then(|| now + backoff);
        self.region_homes
            .put(pending.target.region, Some(from), retry_at);
    }

    fn abandon_unanswered(&mut self, now: Monotonic, timeout: Duration) {
        let (unanswered, pending): (Vec<_>, Vec<_>) = self
            .pending
            .drain(..)
            .partition(|pending| now.since(pending.sent_at) >= timeout);
        self.pending = pending;
        for draw in unanswered {
            self.grants.abandon(draw.number, draw.target.vm);
            self.region_homes
                .put(draw.target.region, None, Some(now + RETRY_MAX));
        }
    }

    fn wanted_ahead_tokens(&self, now: Monotonic, settings: &LimitsSettings) -> u64 {
        let target_tokens = self.ahead_target_tokens(settings);
        let lasting_tokens = self.grants.available_tokens(now, AHEAD_INTERVAL_MIN);
        let is_low = lasting_tokens < target_tokens / 2;
        let is_due = now.since(self.ahead_at) >= AHEAD_INTERVAL_MIN;
        if is_low && is_due {
            target_tokens - lasting_tokens
        } else {
            0
        }
    }

    fn ahead_target_tokens(&self, settings: &LimitsSettings) -> u64 {
        let horizon = if self.is_scarce {
            settings.draw_period
        } else {
            settings.grant_lifetime
        };
        if self.demand.expected_requests(horizon) < AHEAD_REQUESTS {
            return 0;
        }
        let expected_tokens = self.demand.expected_tokens(horizon);
        expected_tokens.min(self.burst_tokens / AHEAD_DIVISOR)
    }

    fn pick_targets(
        &self,
        now: Monotonic,
        targets: &[DrawTarget],
        is_first_local: bool,
        ahead_tokens: u64,
    ) -> Vec<DrawTarget> {
        if self.unrequested_need_tokens() == 0 && ahead_tokens == 0 {
            return Vec::new();
        }
        if let Some(local) = targets.first().filter(|_| is_first_local) {
            if self.is_pending(local.region) {
                return Vec::new();
            }
            if self.region_homes.is_available(now, local.region) {
                return vec![*local];
            }
        }
        let parallel = if self.need.tokens > 0 {
            PARALLEL_DRAWS
        } else {
            1
        };
        let free = parallel.saturating_sub(self.pending.len());
        targets
            .iter()
            .skip(usize::from(is_first_local))
            .filter(|target| {
                self.region_homes.is_available(now, target.region)
                    && !self.is_pending(target.region)
            })
            .take(free)
            .copied()
            .collect()
    }

    /// Returns the tokens that requests wait for and that no draw in flight asks for.
    fn unrequested_need_tokens(&self) -> u64 {
        let requested_tokens: u64 = self.pending.iter().map(|draw| draw.need_tokens).sum();
        self.need.tokens.saturating_sub(requested_tokens)
    }

    fn is_pending(&self, region: RegionKey) -> bool {
        self.pending
            .iter()
            .any(|pending| pending.target.region == region)
    }

    fn draw(
        &mut self,
        now: Monotonic,
        target: DrawTarget,
        need_tokens: u64,
        ahead_tokens: u64,
    ) -> OutgoingDraw {
        self.last_number += 1;
        if ahead_tokens > 0 {
            self.ahead_at = now;
        }
        self.pending.push(PendingDraw {
            number: self.last_number,
            target,
            need_tokens,
            sent_at: now,
        });
        let mut outgoing = self.report(target.vm);
        outgoing.draw.number = self.last_number;
        outgoing.draw.need_tokens = narrow(need_tokens);
        outgoing.draw.unit_tokens = narrow(self.need.unit_tokens);
        outgoing.draw.ahead_tokens = narrow(ahead_tokens);
        outgoing
    }

    fn report(&mut self, home: VmKey) -> OutgoingDraw {
        OutgoingDraw {
            to: home,
            draw: AccountDraw {
                account: self.account,
                number: 0,
                need_tokens: 0,
                unit_tokens: 0,
                ahead_tokens: 0,
                reports: self.grants.take_reports(home),
            },
        }
    }
}

fn narrow(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}
