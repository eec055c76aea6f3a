//! The token bucket of one account, as one VM sees it.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::clock::Monotonic;

/// The longest wait that is told to a caller: beyond it the demand of others decides.
const WAIT_MAX: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct SeenUsage {
    incarnation: u64,
    units: u64,
}

/// The bucket of an account: it fills at the account's rate, and is emptied by what this VM admits
/// and by what other VMs say they admitted.
#[derive(Clone, Debug)]
pub struct AccountBucket {
    balance: f64,
    filled_at: Monotonic,
    admitted_units: u64,
    published_units: u64,
    published_round: u64,
    seen: HashMap<Ipv4Addr, SeenUsage>,
}

impl AccountBucket {
    /// Creates an empty bucket: a restarted VM must not bring a burst with it.
    pub fn new(now: Monotonic) -> Self {
        Self {
            balance: 0.0,
            filled_at: now,
            admitted_units: 0,
            published_units: 0,
            published_round: 0,
            seen: HashMap::new(),
        }
    }

    /// Returns the units that the bucket holds; below zero if more were used.
    pub const fn balance(&self) -> f64 {
        self.balance
    }

    /// Returns the units of all requests that this VM admitted and that were not given back.
    pub const fn admitted_units(&self) -> u64 {
        self.admitted_units
    }

    /// Returns whether other VMs were not told yet of all that this VM admitted.
    pub const fn has_unpublished_usage(&self) -> bool {
        self.admitted_units != self.published_units
    }

    /// Returns the round in which other VMs were last told of the account.
    pub const fn published_round(&self) -> u64 {
        self.published_round
    }

    /// Notes that other VMs are told of the account.
    pub const fn on_published(&mut self, round: u64) {
        self.published_units = self.admitted_units;
        self.published_round = round;
    }

    /// Fills the bucket; `share` is the part of the fleet that the VM hears, itself included.
    pub fn fill(&mut self, now: Monotonic, rate_per_s: f64, burst: f64, share: f64) {
        let elapsed_s = now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        let added = elapsed_s * rate_per_s * share;
        self.balance = (self.balance + added).min(burst * share);
    }

    /// Takes units if the bucket holds any; it may go below zero by one request.
    pub fn try_take(&mut self, units: u64) -> bool {
        if self.balance <= 0.0 {
            return false;
        }
        self.balance -= units as f64;
        self.admitted_units += units;
        true
    }

    /// Gives back the units of a request that did not run.
    pub fn refund(&mut self, units: u64) {
        self.balance += units as f64;
        self.admitted_units = self.admitted_units.saturating_sub(units);
    }

    /// Returns how long it takes until the bucket holds units again.
    pub fn time_to_refill(&self, rate_per_s: f64, share: f64) -> Duration {
        let missing = (-self.balance).max(0.0) + 1.0;
        Duration::try_from_secs_f64(missing / (rate_per_s * share).max(1.0))
            .map_or(WAIT_MAX, |wait| wait.min(WAIT_MAX))
    }

    /// Takes what another VM admitted since it was last heard.
    pub fn on_peer_usage(&mut self, vm: Ipv4Addr, incarnation: u64, units: u64, burst: f64) {
        let usage = SeenUsage { incarnation, units };
        let added = match self.seen.insert(vm, usage) {
            // What it used before it was first heard was not charged to this bucket's fill.
            None => 0.0,
            // Less than before if requests did not run.
            Some(seen) if seen.incarnation == incarnation => units as f64 - seen.units as f64,
            Some(_) => units as f64,
        };
        self.balance = (self.balance - added).clamp(-burst, burst);
    }
}
