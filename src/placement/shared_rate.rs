//! A rate of requests to one endpoint that VMs of its region share.

use std::time::Duration;

use crate::clock::Monotonic;
use crate::fleet::RateShare;

/// The fraction of the tolerated rate that is used; the rest covers VMs whose views differ.
const RATE_FRACTION: f64 = 0.9;

/// The time in which a bucket that is full is used up at the rate of its VM, if it holds more than one
/// request: of a high rate, requests come in bursts.
const BURST_S: f64 = 0.25;

/// The time in which a VM that need not know the others has to use a token. Otherwise all of them would
/// have one in stock when many requests come at once.
const TOKEN_LIFETIME_S: f64 = 0.75;

/// The rate that VMs of a region together may send to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRate {
    /// The requests per second that the endpoint tolerates.
    pub rate_per_s: f64,
    /// The part of this VM.
    pub share: RateShare,
}

impl SharedRate {
    fn vm_rate_per_s(self) -> f64 {
        self.rate_per_s * RATE_FRACTION / self.share.vms.max(1) as f64
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
    /// Whether no rate has been in force since the limiter was created, or since the last request without.
    is_new: bool,
}

impl SharedRateLimiter {
    /// Creates an empty bucket: the first request has to wait for a token.
    pub const fn new(now: Monotonic) -> Self {
        Self {
            balance: 0.0,
            refilled_at: now,
            is_new: true,
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
        *self = Self::new(now);
    }

    /// Empties the bucket, as this VM has no part of the rate.
    pub const fn on_no_share(&mut self, now: Monotonic) {
        *self = Self::new(now);
    }

    /// Returns the time until a request may be sent.
    pub fn next_token_in(&mut self, now: Monotonic, rate: SharedRate) -> Duration {
        self.refill(now, rate);
        let missing = (1.0 - self.balance).max(0.0);
        interval(rate.vm_rate_per_s() / missing)
    }

    fn refill(&mut self, now: Monotonic, rate: SharedRate) {
        let vm_rate_per_s = rate.vm_rate_per_s();
        let elapsed_s = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let is_new = std::mem::take(&mut self.is_new);
        match rate.share.phase {
            // The interval between two requests of a VM is longer than a token lives.
            Some(phase) if vm_rate_per_s * TOKEN_LIFETIME_S < 1.0 => {
                if is_new {
                    self.balance = phase;
                } else {
                    self.balance += elapsed_s * vm_rate_per_s;
                }
                self.drop_lapsed(vm_rate_per_s * TOKEN_LIFETIME_S);
            }
            _ => {
                let balance = self.balance + elapsed_s * vm_rate_per_s;
                self.balance = balance.min(rate.capacity());
            }
        }
    }

    /// Removes the tokens whose lifetime has passed; `accrued` is the part of a token that accrues within
    /// it.
    fn drop_lapsed(&mut self, accrued: f64) {
        let part = self.balance.fract();
        let has_token = self.balance >= 1.0 && part <= accrued;
        self.balance = part + f64::from(u8::from(has_token));
    }
}

/// Returns the mean time between two requests of all VMs together that share a rate.
pub(super) fn shared_interval(rate_per_s: f64) -> Duration {
    interval(rate_per_s * RATE_FRACTION)
}

/// Returns the time between two events of a rate; [`Duration::MAX`] if none ever comes.
fn interval(rate_per_s: f64) -> Duration {
    Duration::try_from_secs_f64(rate_per_s.recip()).unwrap_or(Duration::MAX)
}
