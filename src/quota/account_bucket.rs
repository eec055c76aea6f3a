//! The token bucket of one account on one VM.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::clock::Monotonic;

/// The longest retry time given to a client: beyond it, the demand of other clients decides.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct PeerUsage {
    incarnation: u64,
    units: u64,
}

/// The token bucket of one account.
///
/// It is refilled at the rate of the account, and charged with the usage that this VM admits and
/// that other VMs publish.
#[derive(Clone, Debug)]
pub struct AccountBucket {
    balance: f64,
    filled_at: Monotonic,
    admitted_units: u64,
    published_units: u64,
    published_round: u64,
    peer_usage: HashMap<Ipv4Addr, PeerUsage>,
}

impl AccountBucket {
    /// Creates an empty bucket: a restart of the VM must not admit another burst.
    pub fn new(now: Monotonic) -> Self {
        Self {
            balance: 0.0,
            filled_at: now,
            admitted_units: 0,
            published_units: 0,
            published_round: 0,
            peer_usage: HashMap::new(),
        }
    }

    /// Returns the available units; negative if more were used.
    pub const fn balance(&self) -> f64 {
        self.balance
    }

    /// Returns the units of all requests that this VM admitted, without those that were refunded.
    pub const fn admitted_units(&self) -> u64 {
        self.admitted_units
    }

    /// Returns whether the admitted units differ from those that were last published.
    pub const fn has_unpublished_usage(&self) -> bool {
        self.admitted_units != self.published_units
    }

    /// Returns the gossip round in which the usage of the account was last published.
    pub const fn published_round(&self) -> u64 {
        self.published_round
    }

    /// Records that the usage of the account is published in a gossip round.
    pub const fn on_published(&mut self, round: u64) {
        self.published_units = self.admitted_units;
        self.published_round = round;
    }

    /// Refills the bucket; `share` is the reachable fraction of the fleet, including this VM.
    pub fn fill(&mut self, now: Monotonic, rate_per_s: f64, burst: f64, share: f64) {
        let elapsed_s = now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        let added = elapsed_s * rate_per_s * share;
        self.balance = (self.balance + added).min(burst * share);
    }

    /// Takes the units of a request if the balance is positive, which may make it negative.
    pub fn try_take(&mut self, units: u64) -> bool {
        if self.balance <= 0.0 {
            return false;
        }
        self.balance -= units as f64;
        self.admitted_units += units;
        true
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, units: u64) {
        self.balance += units as f64;
        self.admitted_units = self.admitted_units.saturating_sub(units);
    }

    /// Returns the time until the balance is positive again.
    pub fn time_to_refill(&self, rate_per_s: f64, share: f64) -> Duration {
        let missing = (-self.balance).max(0.0) + 1.0;
        Duration::try_from_secs_f64(missing / (rate_per_s * share).max(1.0))
            .map_or(RETRY_AFTER_MAX, |wait| wait.min(RETRY_AFTER_MAX))
    }

    /// Charges the units that another VM admitted since its last update.
    pub fn on_peer_usage(&mut self, vm: Ipv4Addr, incarnation: u64, units: u64, burst: f64) {
        let usage = PeerUsage { incarnation, units };
        let added = match self.peer_usage.insert(vm, usage) {
            // The first count may include usage from before this bucket was created.
            None => 0.0,
            // Less than in the last update if requests were refunded.
            Some(last) if last.incarnation == incarnation => units as f64 - last.units as f64,
            Some(_) => units as f64,
        };
        self.balance = (self.balance - added).clamp(-burst, burst);
    }
}
