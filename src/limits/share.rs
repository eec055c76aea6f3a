//! The part of an account's rate and burst that one region accrues.

use crate::catalog::ClientAccount;
use crate::catalog::RegionKey;
use crate::catalog::RegionShare;
use crate::clock::Monotonic;

const US_PER_S: u128 = 1_000_000;

/// The part of an account's rate and burst that one region accrues.
///
/// The shares of all regions add up to no more than the whole. They follow from published objects
/// alone and don't depend on which VM or region is alive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// The burst, in tokens.
    pub burst_tokens: u64,
    rate_numerator: u128,
    rate_denominator: u128,
}

impl Share {
    /// Returns the share of `region`; `None` if it has none.
    pub fn of_region(account: &ClientAccount, region: RegionKey) -> Option<Self> {
        let shares = effective_shares(account);
        let total: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
        let index = shares.iter().position(|share| share.region == region)?;
        let before: u64 = shares[..index]
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let weight = u64::from(shares[index].weight);
        let upto_tokens = portion(account.burst_tokens, before + weight, total);
        let before_tokens = portion(account.burst_tokens, before, total);
        Some(Self {
            burst_tokens: upto_tokens - before_tokens,
            rate_numerator: u128::from(account.rate_tokens_per_s) * u128::from(weight),
            rate_denominator: u128::from(total) * US_PER_S,
        })
    }

    /// Returns the regions that have a share, in the published order.
    pub fn regions(account: &ClientAccount) -> Vec<RegionKey> {
        let shares = effective_shares(account);
        shares.into_iter().map(|share| share.region).collect()
    }

    /// Returns the time in which `tokens` accrue, in microseconds.
    pub fn accrual_us(&self, tokens: u64) -> u64 {
        if self.rate_numerator == 0 {
            return u64::MAX;
        }
        let us = (u128::from(tokens) * self.rate_denominator).div_ceil(self.rate_numerator);
        u64::try_from(us).unwrap_or(u64::MAX)
    }
}

/// Accrues a [`Share`] over time, carrying fractions of a token.
#[derive(Clone, Copy, Debug)]
pub struct Accrual {
    accrued_at: Monotonic,
    carry: u128,
}

impl Accrual {
    /// Creates an accrual that starts at `now` with no tokens.
    pub fn new(now: Monotonic) -> Self {
        Self {
            accrued_at: now,
            carry: 0,
        }
    }

    /// Returns the whole tokens that accrued since the last call.
    pub fn advance(&mut self, now: Monotonic, share: &Share) -> u64 {
        let elapsed_us = now.since(self.accrued_at).as_micros();
        self.accrued_at = self.accrued_at.max(now);
        if share.rate_denominator == 0 {
            return 0;
        }
        let earned = self.carry + elapsed_us * share.rate_numerator;
        self.carry = earned % share.rate_denominator;
        u64::try_from(earned / share.rate_denominator).unwrap_or(u64::MAX)
    }

    /// Drops the fraction of a token; called when the burst is full.
    pub fn drop_fraction(&mut self) {
        self.carry = 0;
    }
}

/// Returns the published shares of allowed regions; if there are none, equal shares of all allowed
/// regions.
fn effective_shares(account: &ClientAccount) -> Vec<RegionShare> {
    let published: Vec<RegionShare> = account
        .region_shares
        .iter()
        .filter(|share| share.weight > 0 && account.allows_region(share.region))
        .copied()
        .collect();
    if !published.is_empty() {
        return published;
    }
    account
        .allowed_regions
        .iter()
        .map(|region| RegionShare {
            region: *region,
            weight: 1,
        })
        .collect()
}

fn portion(tokens: u64, weight: u64, total: u64) -> u64 {
    let part = u128::from(tokens) * u128::from(weight) / u128::from(total.max(1));
    u64::try_from(part).unwrap_or(u64::MAX)
}
