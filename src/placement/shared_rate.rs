//! A rate of requests to one endpoint that VMs of its region share.

use std::time::Duration;

use crate::clock::Monotonic;

/// The fraction of the tolerated rate that is used; the rest covers VMs whose views differ.
const RATE_FRACTION: f64 = 0.9;

/// The time in which a bucket that is full is used up at the rate of its VM, if it holds more than one
/// request: of a high rate, requests come in bursts.
const BURST_S: f64 = 0.25;

/// The rate that VMs of a region together may send to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRate {
    /// The requests per second that the endpoint tolerates.
    pub rate_per_s: f64,
    /// The number of VMs that share the rate.
    pub senders: usize,
}

impl SharedRate {
    /// Returns the mean time between two requests of all VMs together.
    pub fn interval(self) -> Duration {
        interval(self.rate_per_s * RATE_FRACTION)
    }

    fn vm_rate_per_s(self) -> f64 {
        self.rate_per_s * RATE_FRACTION / self.senders.max(1) as f64
    }

    fn capacity(self) -> f64 {
        (self.vm_rate_per_s() * BURST_S).max(1.0)
    }
}

/// A token bucket for one endpoint, with the share of the local VM.
#[derive(Clone, Debug)]
pub struct SharedRateLimiter {
    balance: f64,
    refilled_at: Monotonic,
}

impl SharedRateLimiter {
    /// Creates an empty bucket: the first request has to wait for a token.
    pub const fn new(now: Monotonic) -> Self {
        Self {
            balance: 0.0,
            refilled_at: now,
        }
    }

    /// Returns whether a request may be sent now.
    pub fn has_token(&mut self, now: Monotonic, rate: SharedRate) -> bool {
        self.refill(now, rate);
        self.balance >= 1.0
    }

    /// Takes the token of a request that is sent.
    pub fn on_sent(&mut self) {
        self.balance = (self.balance - 1.0).max(0.0);
    }

    /// Empties the bucket for a request that is sent while no rate is in force; the endpoint may be
    /// limited already.
    pub const fn on_unlimited_sent(&mut self, now: Monotonic) {
        self.balance = 0.0;
        self.refilled_at = now;
    }

    /// Returns the time until a request may be sent.
    pub fn next_token_in(&mut self, now: Monotonic, rate: SharedRate) -> Duration {
        self.refill(now, rate);
        let missing = (1.0 - self.balance).max(0.0);
        interval(rate.vm_rate_per_s() / missing)
    }

    fn refill(&mut self, now: Monotonic, rate: SharedRate) {
        let elapsed_s = now.since(self.refilled_at).as_secs_f64();
        self.balance = (self.balance + elapsed_s * rate.vm_rate_per_s()).min(rate.capacity());
        self.refilled_at = now;
    }
}

/// Returns the time between two events of a rate; [`Duration::MAX`] if none ever comes.
fn interval(rate_per_s: f64) -> Duration {
    Duration::try_from_secs_f64(rate_per_s.recip()).unwrap_or(Duration::MAX)
}
