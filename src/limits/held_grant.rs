//! The tokens of one grant, on the VM that holds them.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::LotReport;
use crate::clock::Monotonic;

/// The tokens of one grant, on the VM that holds them.
///
/// Requests take tokens and never put them back: the unused tokens of a request are counted as
/// refunded and go back to the home that issued the grant.
#[derive(Debug)]
pub struct HeldGrant {
    number: u32,
    granted_tokens: u64,
    expires_at: Monotonic,
    remaining_tokens: AtomicU64,
    returned_tokens: AtomicU64,
    used_tokens: AtomicU64,
    refunded_tokens: AtomicU64,
}

impl HeldGrant {
    /// Creates the grant that answered draw `number`.
    pub fn new(number: u32, granted_tokens: u32, expires_at: Monotonic) -> Self {
        Self {
            number,
            granted_tokens: u64::from(granted_tokens),
            expires_at,
            remaining_tokens: AtomicU64::new(u64::from(granted_tokens)),
            returned_tokens: AtomicU64::new(0),
            used_tokens: AtomicU64::new(0),
            refunded_tokens: AtomicU64::new(0),
        }
    }

    /// Returns the time from which no token can be taken.
    pub fn expires_at(&self) -> Monotonic {
        self.expires_at
    }

    /// Returns the tokens that can be taken at `now`.
    pub fn available_tokens(&self, now: Monotonic) -> u64 {
        if now >= self.expires_at {
            return 0;
        }
        self.remaining_tokens.load(Ordering::Acquire)
    }

    /// Takes up to `wanted_tokens` and returns how many it took.
    pub fn take(&self, now: Monotonic, wanted_tokens: u64) -> u64 {
        if now >= self.expires_at {
            return 0;
        }
        let mut taken_tokens = 0;
        let _ =
            self.remaining_tokens
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, |remaining| {
                    taken_tokens = remaining.min(wanted_tokens);
                    Some(remaining - taken_tokens)
                });
        taken_tokens
    }

    /// Counts taken tokens as used or refunded.
    pub fn settle(&self, used_tokens: u64, refunded_tokens: u64) {
        self.used_tokens.fetch_add(used_tokens, Ordering::AcqRel);
        self.refunded_tokens
            .fetch_add(refunded_tokens, Ordering::AcqRel);
    }

    /// Withdraws the tokens that no request has taken; they go back to the home.
    pub fn close(&self) {
        let left_tokens = self.remaining_tokens.swap(0, Ordering::AcqRel);
        self.returned_tokens
            .fetch_add(left_tokens, Ordering::AcqRel);
    }

    /// Returns whether no request can change the counts any more.
    pub fn is_settled(&self) -> bool {
        let report = self.report();
        let settled_tokens = report.used_tokens + report.refunded_tokens + report.returned_tokens;
        u64::from(settled_tokens) >= self.granted_tokens
    }

    /// Returns the cumulative counts.
    ///
    /// The settled counts are read before the remaining tokens, so that a report never shows more
    /// settled than spent.
    pub fn report(&self) -> LotReport {
        let used_tokens = self.used_tokens.load(Ordering::Acquire);
        let refunded_tokens = self.refunded_tokens.load(Ordering::Acquire);
        let returned_tokens = self.returned_tokens.load(Ordering::Acquire);
        let remaining_tokens = self.remaining_tokens.load(Ordering::Acquire);
        let spent_tokens = self
            .granted_tokens
            .saturating_sub(returned_tokens + remaining_tokens);
        LotReport {
            number: self.number,
            spent_tokens: narrow(spent_tokens),
            used_tokens: narrow(used_tokens),
            refunded_tokens: narrow(refunded_tokens),
            returned_tokens: narrow(returned_tokens),
        }
    }
}

fn narrow(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}
