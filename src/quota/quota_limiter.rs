//! The rate limits of all accounts on one VM.

use std::collections::HashMap;
use std::time::Duration;

use super::AccountBucket;
use crate::clock::Monotonic;
use crate::deployment::AccountPolicy;
use crate::deployment::Deployment;
use crate::fleet::AccountUsage;
use crate::fleet::NameHash;
use crate::fleet::VmRow;

/// The fraction of the tolerated overuse that is added to the refill rate, so that VMs with
/// differing views refuse few requests within the rate.
const OVERAGE_FRACTION: f64 = 0.3;

/// The most accounts whose usage one status row contains: a VM serves fewer in a gossip round, and
/// a datagram holds about twenty rows.
const USAGE_MAX_ACCOUNTS: usize = 32;

/// The refusal of a request beyond the rate of its account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// The time until the account has units again.
    pub retry_after: Duration,
    /// The balance of the bucket, in units.
    pub balance: i64,
}

/// The token buckets of all accounts.
///
/// An account may send several times its rate through all VMs at once, so every VM charges its
/// bucket with the usage that all VMs admitted, which they publish by gossip.
#[derive(Debug)]
pub struct QuotaLimiter {
    overage: f64,
    buckets: HashMap<NameHash, AccountBucket>,
    reachable_share: f64,
    round: u64,
}

impl QuotaLimiter {
    /// Creates a limiter without accounts; `overage` is the tolerated fraction above the rate.
    pub fn new(overage: f64) -> Self {
        Self {
            overage,
            buckets: HashMap::new(),
            reachable_share: 1.0,
            round: 0,
        }
    }

    /// Records how many of the VMs that share the limits are reachable, including this one.
    pub fn on_reachable_vms(&mut self, reachable_count: usize, known_count: usize) {
        self.reachable_share = reachable_count as f64 / known_count.max(1) as f64;
    }

    /// Takes the units of a request from its account; accounts without a rate are not limited.
    ///
    /// # Errors
    ///
    /// Returns a [`QuotaRefusal`] if the account has no units left.
    pub fn try_take(
        &mut self,
        now: Monotonic,
        account: &AccountPolicy,
        units: u64,
    ) -> Result<(), QuotaRefusal> {
        let Some(rate_per_s) = account.rate_per_s else {
            return Ok(());
        };
        let share = self.reachable_share;
        let rate_per_s = rate_per_s * (1.0 + self.overage * OVERAGE_FRACTION);
        let bucket = self.bucket(now, account);
        bucket.fill(now, rate_per_s, account.burst, share);
        if bucket.try_take(units) {
            return Ok(());
        }
        let retry_after = bucket.time_to_refill(rate_per_s, share);
        let balance = bucket.balance() as i64;
        Err(QuotaRefusal {
            retry_after,
            balance,
        })
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, account: &AccountPolicy, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(&NameHash::from(&account.name)) {
            bucket.refund(units);
        }
    }

    /// Creates the buckets of new accounts, so that they are refilled from now on.
    pub fn on_deployment(&mut self, now: Monotonic, deployment: &Deployment) {
        for account in deployment.accounts() {
            self.bucket(now, account);
        }
    }

    /// Charges the usage in the status row of another VM.
    pub fn on_row(&mut self, now: Monotonic, row: &VmRow, deployment: &Deployment) {
        let share = self.reachable_share;
        for account in deployment.accounts() {
            let Some(rate_per_s) = account.rate_per_s else {
                continue;
            };
            let hash = NameHash::from(&account.name);
            let Some(usage) = row.usage.iter().find(|usage| usage.account == hash) else {
                continue;
            };
            let rate_per_s = rate_per_s * (1.0 + self.overage * OVERAGE_FRACTION);
            let bucket = self.bucket(now, account);
            bucket.fill(now, rate_per_s, account.burst, share);
            bucket.on_peer_usage(row.ip, row.incarnation, usage.units, account.burst);
        }
    }

    /// Returns the usage that this VM publishes in the next gossip round.
    ///
    /// With more accounts than fit, those with unpublished usage come first, then those that were
    /// published longest ago. A row may leave accounts out, because the counts are totals of an
    /// incarnation.
    pub fn next_usage(&mut self) -> Vec<AccountUsage> {
        self.round += 1;
        let buckets = self.buckets.iter_mut();
        let mut used: Vec<(&NameHash, &mut AccountBucket)> = buckets
            .filter(|(_, bucket)| bucket.admitted_units() > 0 || bucket.has_unpublished_usage())
            .collect();
        used.sort_by_key(|(account, bucket)| {
            (
                !bucket.has_unpublished_usage(),
                bucket.published_round(),
                **account,
            )
        });
        used.truncate(USAGE_MAX_ACCOUNTS);
        let published = used.into_iter().map(|(account, bucket)| {
            bucket.on_published(self.round);
            AccountUsage {
                account: *account,
                units: bucket.admitted_units(),
            }
        });
        published.collect()
    }

    fn bucket(&mut self, now: Monotonic, account: &AccountPolicy) -> &mut AccountBucket {
        self.buckets
            .entry(NameHash::from(&account.name))
            .or_insert_with(|| AccountBucket::new(now))
    }
}
