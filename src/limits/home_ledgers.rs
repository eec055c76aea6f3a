//! The ledgers of all accounts whose home is one VM.

use std::time::Duration;

use slotmap::SecondaryMap;

use super::home_ledger::GrantTerms;
use super::home_ledger::HomeLedger;
use super::region_leases::RegionLeases;
use super::share::Share;
use super::AccountGrant;
use super::Draw;
use super::LimitsSettings;
use super::Shard;
use super::ShardSet;
use crate::catalog::Catalog;
use crate::catalog::ClientAccountKey;
use crate::catalog::RegionKey;
use crate::clock::Monotonic;

/// The shortest lifetime of a grant that is worth sending.
const LIFETIME_MIN: Duration = Duration::from_millis(300);

/// The ledgers of all accounts whose home is one VM.
#[derive(Debug, Default)]
pub struct HomeLedgers {
    ledgers: SecondaryMap<ClientAccountKey, HomeLedger>,
}

impl HomeLedgers {
    /// Creates empty ledgers for the accounts of `acquired` shards.
    pub fn open(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        region: RegionKey,
        acquired: ShardSet,
    ) {
        for (key, account) in &catalog.client_accounts {
            if !acquired.contains(Shard::of_account(&account.name)) {
                continue;
            }
            if let Some(share) = Share::of_region(account, region) {
                self.ledgers.insert(key, HomeLedger::new(now, share));
            }
        }
    }

    /// Removes the ledgers of the accounts of `lost` shards.
    pub fn close(&mut self, catalog: &Catalog, lost: ShardSet) {
        self.ledgers.retain(|key, _| {
            catalog
                .client_accounts
                .get(key)
                .is_some_and(|account| !lost.contains(Shard::of_account(&account.name)))
        });
    }

    /// Removes all ledgers.
    pub fn clear(&mut self) {
        self.ledgers.clear();
    }

    /// Accrues all ledgers and applies newly published rates, bursts and shares.
    pub fn tick(&mut self, now: Monotonic, catalog: &Catalog, region: RegionKey, held: ShardSet) {
        for (key, account) in &catalog.client_accounts {
            if !held.contains(Shard::of_account(&account.name)) {
                continue;
            }
            match Share::of_region(account, region) {
                Some(share) => self.update_share(now, key, share),
                None => {
                    self.ledgers.remove(key);
                }
            }
        }
    }

    /// Handles a draw and returns the grants of the accounts whose home is this VM.
    pub fn draw(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        leases: &RegionLeases,
        settings: &LimitsSettings,
        draw: &Draw,
    ) -> Vec<AccountGrant> {
        let region_of = |vm| catalog.vms.get(vm).map(|vm| vm.region);
        let mut grants = Vec::new();
        for part in &draw.accounts {
            let Some(account) = catalog.client_accounts.get(part.account) else {
                continue;
            };
            let shard = Shard::of_account(&account.name);
            let remaining = leases.lease_end(shard).since(now + settings.clock_slack);
            let lifetime = remaining.min(settings.grant_lifetime);
            let Some(ledger) = self.ledgers.get_mut(part.account) else {
                continue;
            };
            if lifetime < LIFETIME_MIN {
                continue;
            }
            let terms = GrantTerms {
                lifetime,
                clock_slack: settings.clock_slack,
                refund_window: settings.refund_window,
                is_local: region_of(draw.holder) == region_of(leases.local_vm()),
            };
            grants.extend(ledger.draw(now, draw.holder, draw.incarnation, part, terms));
        }
        grants
    }

    /// Returns the tokens of an account that can be granted, if this VM is its home.
    pub fn balance_tokens(&self, account: ClientAccountKey) -> Option<u64> {
        Some(self.ledgers.get(account)?.balance_tokens())
    }

    fn update_share(&mut self, now: Monotonic, key: ClientAccountKey, share: Share) {
        match self.ledgers.get_mut(key) {
            Some(ledger) => {
                ledger.put_share(now, share);
                ledger.accrue(now);
            }
            None => {
                self.ledgers.insert(key, HomeLedger::new(now, share));
            }
        }
    }
}
