//! The ledger of one account on the VM that is its home.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SecondaryMap;

use super::share::Accrual;
use super::share::Share;
use super::AccountDraw;
use super::AccountGrant;
use super::IssuedGrant;
use super::LotReport;
use crate::catalog::VmKey;
use crate::clock::Monotonic;
use crate::membership::Incarnation;

/// The time for which tokens are set aside for one holder with a large request.
const COLLECTION_TIME: Duration = Duration::from_secs(1);

/// The most of the balance that one draw gets ahead of need, as a divisor.
const AHEAD_DIVISOR: u64 = 4;

/// The same while less than half of the burst is left.
const SCARCE_AHEAD_DIVISOR: u64 = 32;

/// The ledger of one account on the VM that is its home.
///
/// The potential is the balance plus the potential of all grants: everything that may still be
/// admitted without further accrual. Only accrual raises it, up to the burst share, and each
/// admitted and used token lowers it permanently. So the tokens that are admitted in an interval
/// and used are at most the potential at its start plus the accrual within: burst share + rate
/// share × time. A ledger exists as long as its VM holds the lease; it starts empty, and no grant
/// outlives the lease.
#[derive(Debug)]
pub struct HomeLedger {
    share: Share,
    accrual: Accrual,
    balance_tokens: u64,
    grants: BTreeMap<GrantId, IssuedGrant>,
    holders: SecondaryMap<VmKey, HolderState>,
    collection: Option<Collection>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GrantId {
    holder: VmKey,
    number: u32,
}

#[derive(Clone, Copy, Debug)]
struct HolderState {
    incarnation: Incarnation,
    last_number: u32,
}

#[derive(Clone, Copy, Debug)]
struct Collection {
    holder: VmKey,
    until: Monotonic,
}

/// The terms on which a home answers a draw.
#[derive(Clone, Copy, Debug)]
pub struct GrantTerms {
    /// The lifetime of the grant, from the time when the draw was sent.
    pub lifetime: Duration,
    /// The time by which the holder's clock may lag behind at the end of the lifetime.
    pub clock_slack: Duration,
    /// The time after the grant for which unused tokens may be refunded.
    pub refund_window: Duration,
    /// Whether the holder is in the region of the home.
    pub is_local: bool,
}

impl HomeLedger {
    /// Creates an empty ledger that accrues from `now` on.
    pub fn new(now: Monotonic, share: Share) -> Self {
        Self {
            share,
            accrual: Accrual::new(now),
            balance_tokens: 0,
            grants: BTreeMap::new(),
            holders: SecondaryMap::new(),
            collection: None,
        }
    }

    /// Returns the tokens that can be granted.
    pub fn balance_tokens(&self) -> u64 {
        self.balance_tokens
    }

    /// Applies a newly published share; a smaller burst lowers the balance at once.
    pub fn put_share(&mut self, now: Monotonic, share: Share) {
        if share == self.share {
            return;
        }
        self.accrue(now);
        self.share = share;
        self.balance_tokens = self.balance_tokens.min(share.burst_tokens);
    }

    /// Accrues up to `now`. If the burst leaves too little headroom, possible refunds are
    /// forfeited, those of the newest grants first: the oldest reservations end next and free
    /// headroom by themselves.
    pub fn accrue(&mut self, now: Monotonic) {
        let earned_tokens = self.accrual.advance(now, &self.share);
        self.grants
            .retain(|_, grant| grant.potential_tokens(now) > 0);
        let mut headroom_tokens = self.headroom_tokens(now);
        while headroom_tokens < earned_tokens {
            let Some(newest) = self.newest_forfeitable(now) else {
                break;
            };
            let forfeited_tokens = newest.forfeitable_tokens(now);
            newest.forfeit(forfeited_tokens.min(earned_tokens - headroom_tokens));
            headroom_tokens = self.headroom_tokens(now);
        }
        self.balance_tokens += earned_tokens.min(headroom_tokens);
        if earned_tokens >= headroom_tokens {
            self.accrual.drop_fraction();
        }
    }

    /// Handles a draw: applies its reports and answers each draw number once.
    pub fn draw(
        &mut self,
        now: Monotonic,
        holder: VmKey,
        incarnation: Incarnation,
        draw: &AccountDraw,
        terms: GrantTerms,
    ) -> Option<AccountGrant> {
        self.accrue(now);
        if !self.register_incarnation(now, holder, incarnation) {
            return None;
        }
        for report in &draw.reports {
            self.apply_report(now, holder, report);
        }
        let state = self.holders.get_mut(holder)?;
        if draw.number <= state.last_number {
            return None;
        }
        state.last_number = draw.number;
        Some(self.answer(now, holder, draw, terms))
    }

    fn answer(
        &mut self,
        now: Monotonic,
        holder: VmKey,
        draw: &AccountDraw,
        terms: GrantTerms,
    ) -> AccountGrant {
        let need_tokens = u64::from(draw.need_tokens);
        let needed_tokens = self.tokens_for_need(now, holder, draw);
        let ahead_tokens = self.tokens_ahead(draw, needed_tokens, terms.is_local);
        let tokens = needed_tokens + ahead_tokens;
        if tokens > 0 {
            self.balance_tokens -= tokens;
            let expires_at = now + terms.lifetime + terms.clock_slack;
            let refund_until = now + terms.refund_window;
            let id = GrantId {
                holder,
                number: draw.number,
            };
            let grant = IssuedGrant::new(tokens, now, expires_at, refund_until);
            self.grants.insert(id, grant);
        }
        AccountGrant {
            account: draw.account,
            number: draw.number,
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            lifetime: terms.lifetime,
            retry_after: self.retry_after(need_tokens.saturating_sub(tokens)),
        }
    }

    /// Returns the time in which the missing tokens accrue; zero while tokens are plentiful.
    fn retry_after(&self, missing_tokens: u64) -> Duration {
        let is_plentiful = self.balance_tokens >= self.share.burst_tokens / 2;
        if missing_tokens == 0 && is_plentiful {
            return Duration::ZERO;
        }
        let lacking_tokens = missing_tokens.saturating_sub(self.balance_tokens).max(1);
        Duration::from_micros(self.share.accrual_us(lacking_tokens))
    }

    /// Returns the tokens that a draw gets for waiting requests: all, as many whole requests as the
    /// balance covers, or a part of a large request if no other holder collects for one.
    fn tokens_for_need(&mut self, now: Monotonic, holder: VmKey, draw: &AccountDraw) -> u64 {
        let need_tokens = u64::from(draw.need_tokens);
        let unit_tokens = u64::from(draw.unit_tokens).clamp(1, need_tokens.max(1));
        if self.balance_tokens >= need_tokens {
            return need_tokens;
        }
        if self.balance_tokens >= unit_tokens {
            return self.balance_tokens / unit_tokens * unit_tokens;
        }
        let is_large = unit_tokens > self.share.burst_tokens / 2;
        if !is_large || !self.may_collect(now, holder) {
            return 0;
        }
        self.collection = Some(Collection {
            holder,
            until: now + COLLECTION_TIME,
        });
        self.balance_tokens
    }

    fn may_collect(&self, now: Monotonic, holder: VmKey) -> bool {
        self.collection
            .is_none_or(|collection| collection.holder == holder || now >= collection.until)
    }

    fn tokens_ahead(&self, draw: &AccountDraw, needed_tokens: u64, is_local: bool) -> u64 {
        let left_tokens = self.balance_tokens - needed_tokens;
        let is_scarce = left_tokens < self.share.burst_tokens / 2;
        if is_scarce && !is_local {
            return 0;
        }
        let divisor = if is_scarce {
            SCARCE_AHEAD_DIVISOR
        } else {
            AHEAD_DIVISOR
        };
        u64::from(draw.ahead_tokens).min(left_tokens / divisor)
    }

    /// Records the incarnation of the holder; returns false for a message of an earlier one.
    fn register_incarnation(
        &mut self,
        now: Monotonic,
        holder: VmKey,
        incarnation: Incarnation,
    ) -> bool {
        let known = self.holders.get(holder).map(|state| state.incarnation);
        if known.is_some_and(|known| known > incarnation) {
            return false;
        }
        if known != Some(incarnation) {
            self.orphan_grants(now, holder);
            let state = HolderState {
                incarnation,
                last_number: 0,
            };
            self.holders.insert(holder, state);
        }
        true
    }

    /// Moves the grants of an earlier incarnation to ids that no report names.
    fn orphan_grants(&mut self, now: Monotonic, holder: VmKey) {
        let ids: Vec<GrantId> = self
            .grants
            .keys()
            .filter(|id| id.holder == holder)
            .copied()
            .collect();
        for id in ids {
            let Some(mut grant) = self.grants.remove(&id) else {
                continue;
            };
            grant.forfeit(grant.forfeitable_tokens(now));
            let orphan = GrantId {
                holder: VmKey::default(),
                number: self.next_orphan_number(),
            };
            self.grants.insert(orphan, grant);
        }
    }

    fn next_orphan_number(&self) -> u32 {
        let last = self
            .grants
            .keys()
            .filter(|id| id.holder == VmKey::default())
            .map(|id| id.number)
            .max();
        last.map_or(0, |number| number + 1)
    }

    fn apply_report(&mut self, now: Monotonic, holder: VmKey, report: &LotReport) {
        let id = GrantId {
            holder,
            number: report.number,
        };
        if let Some(grant) = self.grants.get_mut(&id) {
            self.balance_tokens += grant.apply(now, report);
        }
    }

    fn headroom_tokens(&self, now: Monotonic) -> u64 {
        let outstanding_tokens: u64 = self
            .grants
            .values()
            .map(|grant| grant.potential_tokens(now))
            .sum();
        let potential_tokens = self.balance_tokens + outstanding_tokens;
        self.share.burst_tokens.saturating_sub(potential_tokens)
    }

    fn newest_forfeitable(&mut self, now: Monotonic) -> Option<&mut IssuedGrant> {
        self.grants
            .values_mut()
            .filter(|grant| grant.forfeitable_tokens(now) > 0)
            .max_by_key(|grant| grant.granted_at())
    }
}
