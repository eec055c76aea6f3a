//! The retry budget of one VM.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

const RETRY_COST_PERMILLE: u64 = 1_000;
const DEPOSIT_PERMILLE: u64 = 100;
const BALANCE_MAX_PERMILLE: u64 = 20_000;

/// The retry budget of one VM: one retry for ten requests, and at most 20 in a burst.
///
/// Without it, retries would multiply the load on endpoints that fail because of overload.
#[derive(Debug)]
pub struct RetryBudget {
    balance_permille: AtomicU64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance_permille: AtomicU64::new(BALANCE_MAX_PERMILLE),
        }
    }
}

impl RetryBudget {
    /// Records a request of a caller.
    pub fn on_request(&self) {
        let _ =
            self.balance_permille
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, |balance| {
                    Some((balance + DEPOSIT_PERMILLE).min(BALANCE_MAX_PERMILLE))
                });
    }

    /// Takes one retry from the budget; returns whether one was left.
    pub fn try_take(&self) -> bool {
        self.balance_permille
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |balance| {
                balance.checked_sub(RETRY_COST_PERMILLE)
            })
            .is_ok()
    }
}
