//! One grant, in the ledger of the home that issued it.

use super::LotReport;
use crate::clock::Monotonic;

/// One grant, in the ledger of the home that issued it.
///
/// Its potential is what may still be admitted because of it: tokens that its holder can still
/// reserve, and reserved tokens that may be refunded. Each forfeited token lowers the potential by
/// one, which leaves headroom for accrual.
#[derive(Clone, Copy, Debug)]
pub struct IssuedGrant {
    granted_tokens: u64,
    spent_tokens: u64,
    used_tokens: u64,
    credited_tokens: u64,
    refunded_tokens: u64,
    returned_tokens: u64,
    granted_at: Monotonic,
    expires_at: Monotonic,
    refund_until: Monotonic,
    forfeited_tokens: u64,
}

impl IssuedGrant {
    /// Creates a grant whose tokens its holder can no longer reserve from `expires_at` on.
    pub fn new(
        granted_tokens: u64,
        granted_at: Monotonic,
        expires_at: Monotonic,
        refund_until: Monotonic,
    ) -> Self {
        Self {
            granted_tokens,
            spent_tokens: 0,
            used_tokens: 0,
            credited_tokens: 0,
            refunded_tokens: 0,
            returned_tokens: 0,
            granted_at,
            expires_at,
            refund_until,
            forfeited_tokens: 0,
        }
    }

    /// Returns the time of the grant.
    pub fn granted_at(&self) -> Monotonic {
        self.granted_at
    }

    /// Returns the tokens that may still be admitted because of this grant.
    pub fn potential_tokens(&self, now: Monotonic) -> u64 {
        if now >= self.refund_until {
            return 0;
        }
        let gone_tokens = self.used_tokens + self.credited_tokens + self.forfeited_tokens;
        self.granted_tokens
            .saturating_sub(gone_tokens)
            .max(self.unspent_tokens(now))
    }

    /// Returns the part of the potential that can be forfeited.
    pub fn forfeitable_tokens(&self, now: Monotonic) -> u64 {
        self.potential_tokens(now)
            .saturating_sub(self.unspent_tokens(now))
    }

    /// Forfeits the refund of `tokens` that were spent.
    ///
    /// The home cannot tell an old reservation of the grant from a new one: forfeited tokens are
    /// deducted from the first refunds.
    pub fn forfeit(&mut self, tokens: u64) {
        self.forfeited_tokens += tokens;
    }

    /// Applies a report and returns the tokens that go back to the balance.
    ///
    /// The potential drops by at least as much. Reports are cumulative: duplicated and reordered
    /// ones change nothing.
    pub fn apply(&mut self, now: Monotonic, report: &LotReport) -> u64 {
        let potential_tokens = self.potential_tokens(now);
        let spent_tokens = u64::from(report.spent_tokens).min(self.granted_tokens);
        let returnable_tokens = self.granted_tokens - spent_tokens;
        let returned_tokens = u64::from(report.returned_tokens).min(returnable_tokens);
        raise(&mut self.spent_tokens, spent_tokens);
        let newly_returned_tokens = raise(&mut self.returned_tokens, returned_tokens);
        let newly_used_tokens = raise(&mut self.used_tokens, u64::from(report.used_tokens));
        let newly_refunded_tokens =
            raise(&mut self.refunded_tokens, u64::from(report.refunded_tokens));
        let freed_tokens = newly_returned_tokens + newly_refunded_tokens;
        let kept_tokens = newly_used_tokens + self.unspent_tokens(now);
        let credit_tokens = freed_tokens.min(potential_tokens.saturating_sub(kept_tokens));
        self.credited_tokens += credit_tokens;
        credit_tokens
    }

    fn unspent_tokens(&self, now: Monotonic) -> u64 {
        if now >= self.expires_at {
            return 0;
        }
        self.granted_tokens
            .saturating_sub(self.spent_tokens + self.returned_tokens)
    }
}

/// Raises a cumulative count and returns by how much.
fn raise(count_tokens: &mut u64, to_tokens: u64) -> u64 {
    let raised_tokens = to_tokens.saturating_sub(*count_tokens);
    *count_tokens += raised_tokens;
    raised_tokens
}
