//! The buckets of all accounts of one VM.

use std::collections::HashMap;
use std::time::Duration;

use super::AccountBucket;
use crate::clock::Monotonic;
use crate::deployment::AccountPolicy;
use crate::deployment::Deployment;
use crate::fleet::AccountUsage;
use crate::fleet::NameHash;
use crate::fleet::VmRow;

/// The part of the bound on overuse that the fill rate makes use of, so that differing views cost
/// callers little.
const OVERAGE_USED: f64 = 0.3;

/// The accounts that a row tells of: a VM serves fewer in a round, and a datagram holds some twenty
/// rows.
const USAGE_MAX_ACCOUNTS: usize = 32;

/// A request beyond its account's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// When the account has units again.
    pub retry_after: Duration,
    /// The balance of the bucket, in units.
    pub balance: i64,
}

/// The buckets of all accounts.
///
/// It answers loads in which one account sends several times its rate through all VMs at once:
/// every VM charges its bucket with what all VMs admitted, as they tell it by gossip.
#[derive(Debug)]
pub struct QuotaLimiter {
    overage: f64,
    buckets: HashMap<NameHash, AccountBucket>,
    heard_share: f64,
    round: u64,
}

impl QuotaLimiter {
    /// Creates a ledger; `overage` is the tolerated part above the rate.
    pub fn new(overage: f64) -> Self {
        Self {
            overage,
            buckets: HashMap::new(),
            heard_share: 1.0,
            round: 0,
        }
    }

    /// Notes how many of the VMs that share the limits are heard, itself included.
    pub fn on_reachable_vms(&mut self, heard_count: usize, known_count: usize) {
        self.heard_share = heard_count as f64 / known_count.max(1) as f64;
    }

    /// Takes the units of a request from its account.
    ///
    /// # Errors
    ///
    /// Returns a [`QuotaRefusal`] if the account has none left.
    pub fn try_take(
        &mut self,
        now: Monotonic,
        account: &AccountPolicy,
        units: u64,
    ) -> Result<(), QuotaRefusal> {
        let Some(rate_per_s) = account.rate_per_s else {
            return Ok(());
        };
        let share = self.heard_share;
        let rate_per_s = rate_per_s * (1.0 + self.overage * OVERAGE_USED);
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

    /// Gives back the units of a request that did not run.
    pub fn refund(&mut self, account: &AccountPolicy, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(&NameHash::from(&account.name)) {
            bucket.refund(units);
        }
    }

    /// Creates the buckets of new accounts, so that they fill from now on.
    pub fn on_deployment(&mut self, now: Monotonic, deployment: &Deployment) {
        for account in deployment.accounts() {
            self.bucket(now, account);
        }
    }

    /// Takes over what another VM says of its accounts.
    pub fn on_row(&mut self, now: Monotonic, row: &VmRow, deployment: &Deployment) {
        let share = self.heard_share;
        for account in deployment.accounts() {
            let Some(rate_per_s) = account.rate_per_s else {
                continue;
            };
            let hash = NameHash::from(&account.name);
            let Some(usage) = row.usage.iter().find(|usage| usage.account == hash) else {
                continue;
            };
            let rate_per_s = rate_per_s * (1.0 + self.overage * OVERAGE_USED);
            let bucket = self.bucket(now, account);
            bucket.fill(now, rate_per_s, account.burst, share);
            bucket.on_peer_usage(row.ip, row.incarnation, usage.units, account.burst);
        }
    }

    /// Returns what this VM admitted, for the next round of gossip.
    ///
    /// It answers fleets with many accounts: those with news come first, then those that other VMs
    /// were told of longest ago. Counts only grow within an incarnation, so a row may leave some out.
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
        let told = used.into_iter().map(|(account, bucket)| {
            bucket.on_published(self.round);
            AccountUsage {
                account: *account,
                units: bucket.admitted_units(),
            }
        });
        told.collect()
    }

    fn bucket(&mut self, now: Monotonic, account: &AccountPolicy) -> &mut AccountBucket {
        self.buckets
            .entry(NameHash::from(&account.name))
            .or_insert_with(|| AccountBucket::new(now))
    }
}
