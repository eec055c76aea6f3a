//! The rate limit of requests to cold endpoints.

use std::time::Duration;

use crate::clock::Monotonic;

/// The number of VMs of a region that send to one cold endpoint: with two, it still gets requests
/// when one of them has a stale view of the fleet.
pub(super) const COLD_SENDERS: usize = 2;

/// The fraction of the tolerated rate that is used; the rest covers VMs whose views differ.
const RATE_FRACTION: f64 = 0.9;

/// The rate that all VMs of a region together may send to a cold endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    /// The requests per second that a cold endpoint tolerates.
    pub rate_per_s: f64,
    /// The number of VMs that share the rate.
    pub senders: usize,
}

/// A token bucket for one cold endpoint; its capacity is one request.
#[derive(Clone, Debug)]
pub struct ColdRateLimiter {
    balance: f64,
    refilled_at: Monotonic,
}

impl ColdRateLimiter {
    /// Creates an empty bucket: the first request has to wait for a token.
    pub const fn new(now: Monotonic) -> Self {
        Self {
            balance: 0.0,
            refilled_at: now,
        }
    }

    /// Returns whether a request may be sent now.
    pub fn has_token(&mut self, now: Monotonic, limits: ColdLimits) -> bool {
        self.refill(now, limits);
        self.balance >= 1.0
    }

    /// Takes the token of a request that is sent.
    pub fn on_sent(&mut self) {
        self.balance -= 1.0;
    }

    /// Returns the time until a request may be sent.
    pub fn next_token_in(&mut self, now: Monotonic, limits: ColdLimits) -> Duration {
        self.refill(now, limits);
        let missing = (1.0 - self.balance).max(0.0);
        Duration::try_from_secs_f64(missing / vm_rate_per_s(limits)).unwrap_or(Duration::MAX)
    }

    fn refill(&mut self, now: Monotonic, limits: ColdLimits) {
        let elapsed_s = now.since(self.refilled_at).as_secs_f64();
        self.balance = (self.balance + elapsed_s * vm_rate_per_s(limits)).min(1.0);
        self.refilled_at = now;
    }
}

fn vm_rate_per_s(limits: ColdLimits) -> f64 {
    limits.rate_per_s * RATE_FRACTION / limits.senders.max(1) as f64
}
