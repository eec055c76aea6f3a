//! The tokens of one client account on one VM.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use thiserror::Error;

use super::HeldGrant;
use super::Reservation;
use crate::clock::Monotonic;

/// The tokens of one client account on one VM.
///
/// Requests load the list of grants and update atomics; only the controller replaces the list.
#[derive(Debug, Default)]
pub struct TokenPool {
    grants: ArcSwap<Vec<Arc<HeldGrant>>>,
    reserved_tokens: AtomicU64,
    reservation_count: AtomicU64,
    retry_at_us: AtomicU64,
}

/// The error of a reservation for which this VM holds too few tokens.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("this VM lacks {missing_tokens} tokens for the reservation")]
pub struct Shortfall {
    /// The tokens that are missing.
    pub missing_tokens: u64,
    /// The time after which a retry may find them; `None` if not known.
    pub retry_after: Option<Duration>,
}

impl TokenPool {
    /// Creates a pool that holds `grants`.
    pub fn with_grants(grants: Vec<Arc<HeldGrant>>) -> Self {
        let pool = Self::default();
        pool.put_grants(grants);
        pool
    }

    /// Reserves `tokens` for a request that is admitted at `now`.
    ///
    /// # Errors
    ///
    /// Returns a [`Shortfall`] if the VM holds fewer tokens; nothing is reserved then.
    pub fn reserve(&self, now: Monotonic, tokens: u64) -> Result<Reservation, Shortfall> {
        let grants = self.grants.load();
        let available_tokens = available_tokens(&grants, now);
        if available_tokens < tokens {
            return Err(self.shortfall(now, tokens - available_tokens));
        }
        let mut reservation = Reservation::default();
        let mut missing_tokens = tokens;
        for grant in grants.iter() {
            let taken_tokens = grant.take(now, missing_tokens);
            reservation.add(grant, taken_tokens);
            missing_tokens -= taken_tokens;
        }
        if missing_tokens > 0 {
            reservation.settle(0);
            return Err(self.shortfall(now, missing_tokens));
        }
        self.reserved_tokens.fetch_add(tokens, Ordering::Relaxed);
        self.reservation_count.fetch_add(1, Ordering::Relaxed);
        Ok(reservation)
    }

    /// Ends a reservation; unused tokens are refunded to the homes that granted them.
    ///
    /// `used_tokens` above the reservation are not charged.
    pub fn settle(&self, reservation: Reservation, used_tokens: u64) {
        reservation.settle(used_tokens);
    }

    /// Returns the tokens that can be reserved at `now`.
    pub fn available_tokens(&self, now: Monotonic) -> u64 {
        available_tokens(&self.grants.load(), now)
    }

    /// Returns the tokens reserved since the start of the process.
    pub fn reserved_tokens(&self) -> u64 {
        self.reserved_tokens.load(Ordering::Relaxed)
    }

    /// Returns the number of reservations since the start of the process.
    pub fn reservation_count(&self) -> u64 {
        self.reservation_count.load(Ordering::Relaxed)
    }

    /// Replaces the grants; requests reserve from them in this order.
    pub(super) fn put_grants(&self, grants: Vec<Arc<HeldGrant>>) {
        self.grants.store(Arc::new(grants));
    }

    /// Sets the time before which no more tokens are likely to arrive.
    pub(super) fn put_retry_at(&self, retry_at: Monotonic) {
        self.retry_at_us.store(retry_at.as_us(), Ordering::Relaxed);
    }

    fn shortfall(&self, now: Monotonic, missing_tokens: u64) -> Shortfall {
        let retry_at = Monotonic::from_us(self.retry_at_us.load(Ordering::Relaxed));
        let retry_after = retry_at.since(now);
        Shortfall {
            missing_tokens,
            retry_after: (!retry_after.is_zero()).then_some(retry_after),
        }
    }
}

fn available_tokens(grants: &[Arc<HeldGrant>], now: Monotonic) -> u64 {
    grants.iter().map(|grant| grant.available_tokens(now)).sum()
}
