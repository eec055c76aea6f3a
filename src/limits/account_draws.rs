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

/// The shortest time between two draws from a home that had too little.
const RETRY_MIN: Duration = Duration::from_millis(50);

/// The longest time between two draws from a home that had too little.
const RETRY_MAX: Duration = Duration::from_millis(400);

/// The shortest time between two draws ahead of need.
const AHEAD_GAP: Duration = Duration::from_millis(500);

/// The shortest time between two reports.
const REPORT_GAP: Duration = Duration::from_millis(200);

/// The part of the burst that is reported as free again at once, as a divisor.
const REPORT_DIVISOR: u64 = 64;

/// The part of the burst that a VM keeps ahead of need at most, as a divisor.
const AHEAD_DIVISOR: u64 = 32;

/// The number of expected requests from which tokens are drawn ahead of need.
const AHEAD_REQUESTS: f64 = 4.0;

/// The number of other regions that are asked at the same time.
const PARALLEL_DRAWS: usize = 2;

/// The draws of one account on one VM.
///
/// Requests that wait are served from the home of the own region first, then from the homes of
/// other regions, nearest first, each asked for a part. A home that had too little, or that did not
/// answer, is left alone for a while.
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
    /// Creates the draws of an account, numbered after `last_number`.
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

    /// Takes the published burst of the account over all regions.
    pub fn put_burst(&mut self, burst_tokens: u64) {
        self.burst_tokens = burst_tokens;
    }

    /// Returns the number of the last draw.
    pub fn last_number(&self) -> u32 {
        self.last_number
    }

    /// Adds the tokens that one more waiting request misses.
    pub fn add_need(&mut self, missing_tokens: u64) {
        let is_first = self.need.tokens == 0;
        self.need.tokens += missing_tokens;
        if is_first || missing_tokens < self.need.unit_tokens {
            self.need.unit_tokens = missing_tokens;
        }
    }

    /// Returns the home of another region that last granted something.
    pub fn known_home(&self, region: RegionKey) -> Option<VmKey> {
        self.region_homes.home(region)
    }

    /// Keeps the books: gives up silent draws, closes lots, samples the demand.
    pub fn maintain(&mut self, now: Monotonic, settings: &LimitsSettings) {
        self.demand.sample(now, &self.pool);
        self.give_up_silent(now, settings.draw_timeout);
        self.grants
            .close_expired(now, settings.refund_window, &self.pool);
        if self.need.tokens == 0 && self.is_scarce {
            let keep_tokens = 2 * self.ahead_target_tokens(settings);
            self.grants
                .close_idle(now, keep_tokens, settings.idle_return, &self.pool);
        }
    }

    /// Tells whether a draw may be due, before its targets are looked up.
    pub fn may_draw(&self, now: Monotonic, settings: &LimitsSettings) -> bool {
        self.need.tokens > 0 || self.wanted_ahead_tokens(now, settings) > 0
    }

    /// Returns the draws that are due; `targets` has the own region first, then the others by
    /// distance.
    pub fn due(
        &mut self,
        now: Monotonic,
        targets: &[DrawTarget],
        is_first_local: bool,
        settings: &LimitsSettings,
    ) -> Vec<OutgoingDraw> {
        let ahead_tokens = self.wanted_ahead_tokens(now, settings);
        let picked = self.pick_targets(now, targets, is_first_local, ahead_tokens);
        let open_tokens = self.open_need_tokens();
        let part_tokens = open_tokens.div_ceil(picked.len().max(1) as u64);
        picked
            .into_iter()
            .map(|target| self.draw(now, target, part_tokens, ahead_tokens))
            .collect()
    }

    /// Tells why requests wait in vain, if nothing is on its way and nobody can be asked now.
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

    /// Returns the reports that are due apart from draws: in each round of all accounts, and at
    /// once if much of the burst is free again.
    pub fn due_reports(&mut self, now: Monotonic, is_round: bool) -> Vec<OutgoingDraw> {
        let is_much = self.grants.unreported_tokens() > self.burst_tokens / REPORT_DIVISOR;
        let is_early = self.is_report_due || is_much;
        let is_due = is_early && now.since(self.reported_at) >= REPORT_GAP;
        if !is_round && !is_due {
            return Vec::new();
        }
        self.reported_at = now;
        self.is_report_due = false;
        let homes = self.grants.homes_to_report();
        homes.into_iter().map(|home| self.report(home)).collect()
    }

    /// Takes a grant.
    pub fn on_grant(&mut self, now: Monotonic, from: VmKey, grant: &AccountGrant) -> GrantOutcome {
        let place = self
            .pending
            .iter()
            .position(|pending| pending.number == grant.number);
        let Some(place) = place else {
            self.grants.abandon(grant.number, from);
            return GrantOutcome::Stale;
        };
        let pending = self.pending.swap_remove(place);
        let expires_at = pending.sent_at + grant.lifetime;
        if now >= expires_at && grant.tokens > 0 {
            self.grants.abandon(grant.number, from);
            return GrantOutcome::Stale;
        }
        self.note_home(now, from, &pending, grant);
        if grant.tokens == 0 {
            return GrantOutcome::Empty;
        }
        let held = Arc::new(HeldGrant::new(grant.number, grant.tokens, expires_at));
        self.grants.add(now, from, held, &self.pool);
        self.need.tokens = self.need.tokens.saturating_sub(u64::from(grant.tokens));
        GrantOutcome::Arrived
    }

    /// Tells whether the account is at rest here.
    pub fn is_idle(&self) -> bool {
        self.need.tokens == 0 && self.pending.is_empty() && self.grants.is_empty()
    }

    /// Sends back what was collected in vain, so that another VM may use it.
    fn return_all(&mut self, now: Monotonic) {
        self.grants.close_idle(now, 0, Duration::ZERO, &self.pool);
        self.is_report_due = true;
    }

    fn note_home(
        &mut self,
        now: Monotonic,
        from: VmKey,
        pending: &PendingDraw,
        grant: &AccountGrant,
    ) {
        // A draw ahead of need may get nothing while requests that wait would get tokens.
        let is_short = u64::from(grant.tokens) < pending.need_tokens;
        self.is_scarce = !grant.retry_after.is_zero();
        let pause = grant.retry_after.clamp(RETRY_MIN, RETRY_MAX);
        let retry_at = is_short.then(|| now + pause);
        self.region_homes
            .put(pending.target.region, Some(from), retry_at);
    }

    fn give_up_silent(&mut self, now: Monotonic, timeout: Duration) {
        let (silent, pending): (Vec<_>, Vec<_>) = self
            .pending
            .drain(..)
            .partition(|pending| now.since(pending.sent_at) >= timeout);
        self.pending = pending;
        for draw in silent {
            self.grants.abandon(draw.number, draw.target.vm);
            self.region_homes
                .put(draw.target.region, None, Some(now + RETRY_MAX));
        }
    }

    fn wanted_ahead_tokens(&self, now: Monotonic, settings: &LimitsSettings) -> u64 {
        let target_tokens = self.ahead_target_tokens(settings);
        let lasting_tokens = self.grants.available_tokens(now, AHEAD_GAP);
        let is_low = lasting_tokens < target_tokens / 2;
        let is_due = now.since(self.ahead_at) >= AHEAD_GAP;
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
        if self.open_need_tokens() == 0 && ahead_tokens == 0 {
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

    /// Returns the tokens that requests wait for and that nobody was asked for yet.
    fn open_need_tokens(&self) -> u64 {
        let asked_tokens: u64 = self.pending.iter().map(|draw| draw.need_tokens).sum();
        self.need.tokens.saturating_sub(asked_tokens)
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
