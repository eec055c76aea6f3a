//! The rate at which cold endpoints get requests.

use std::time::Duration;

use crate::clock::Monotonic;

/// The VMs of a region that send to one cold endpoint: a second one keeps it in use when the view
/// of the first one is wrong.
pub(super) const SENDERS: usize = 2;

/// The part of the tolerated rate that is used; the rest allows for views that differ.
const RATE_USED: f64 = 0.9;

/// The rate that all VMs together may send to a cold endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    /// The requests a second that a cold endpoint tolerates.
    pub rate_per_s: f64,
    /// The VMs that share the rate.
    pub senders: usize,
}

/// A token bucket of one request for one cold endpoint.
#[derive(Clone, Debug)]
pub struct ColdRateLimiter {
    balance: f64,
    filled_at: Monotonic,
}

impl ColdRateLimiter {
    /// Creates a gate that lets nothing through before the first interval has passed.
    pub const fn new(now: Monotonic) -> Self {
        Self {
            balance: 0.0,
            filled_at: now,
        }
    }

    /// Returns whether a request may be sent now.
    pub fn has_token(&mut self, now: Monotonic, limits: ColdLimits) -> bool {
        self.fill(now, limits);
        self.balance >= 1.0
    }

    /// Notes a request that is sent.
    pub fn on_sent(&mut self) {
        self.balance -= 1.0;
    }

    /// Returns how long the gate stays closed.
    pub fn next_token_in(&mut self, now: Monotonic, limits: ColdLimits) -> Duration {
        self.fill(now, limits);
        let missing = (1.0 - self.balance).max(0.0);
        Duration::try_from_secs_f64(missing / own_rate_per_s(limits)).unwrap_or(Duration::MAX)
    }

    fn fill(&mut self, now: Monotonic, limits: ColdLimits) {
        let elapsed_s = now.since(self.filled_at).as_secs_f64();
        self.balance = (self.balance + elapsed_s * own_rate_per_s(limits)).min(1.0);
        self.filled_at = now;
    }
}

fn own_rate_per_s(limits: ColdLimits) -> f64 {
    limits.rate_per_s * RATE_USED / limits.senders.max(1) as f64
}
