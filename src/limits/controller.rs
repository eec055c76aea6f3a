//! The limits decision of one VM.

use super::LimitsAction;
use super::LimitsMessage;
use super::LimitsSettings;
use super::TokenPools;
use crate::catalog::Catalog;
use crate::catalog::ClientAccountKey;
use crate::catalog::VmKey;
use crate::clock::Monotonic;
use crate::membership::Incarnation;
use crate::membership::MembershipView;

/// The limits decision of one VM.
#[derive(Debug)]
pub struct LimitsController {
    settings: LimitsSettings,
    own: VmKey,
    incarnation: Incarnation,
    pools: TokenPools,
}

impl LimitsController {
    /// Creates the controller of a VM that starts at `now`.
    pub fn new(
        settings: LimitsSettings,
        own: VmKey,
        incarnation: Incarnation,
        _now: Monotonic,
    ) -> Self {
        Self {
            settings,
            own,
            incarnation,
            pools: TokenPools::default(),
        }
    }

    /// Renews leases, draws tokens and reports; called several times a second.
    pub fn tick(
        &mut self,
        _now: Monotonic,
        catalog: &Catalog,
        view: &MembershipView,
        out: &mut Vec<LimitsAction>,
    ) {
        debug_assert_eq!(view.own, self.own);
        self.sync_pools(catalog, out);
    }

    /// Takes a message of another VM.
    pub fn on_message(
        &mut self,
        _now: Monotonic,
        _catalog: &Catalog,
        _view: &MembershipView,
        _from: VmKey,
        _message: LimitsMessage,
        _out: &mut Vec<LimitsAction>,
    ) {
    }

    /// Draws the `missing_tokens` of a request that waits for them.
    pub fn want(
        &mut self,
        _now: Monotonic,
        _catalog: &Catalog,
        _view: &MembershipView,
        _account: ClientAccountKey,
        _missing_tokens: u64,
        _out: &mut Vec<LimitsAction>,
    ) {
    }

    /// Drops everything that was granted to the VM before a pause.
    pub fn on_paused(&mut self, now: Monotonic, incarnation: Incarnation) {
        self.incarnation = incarnation;
        for pool in self.pools.pools.values() {
            pool.put_lots(Vec::new());
            pool.put_retry_at(now + self.settings.lease);
        }
    }

    /// Returns the pools, to publish them.
    pub fn pools(&self) -> TokenPools {
        self.pools.clone()
    }

    fn sync_pools(&mut self, catalog: &Catalog, out: &mut Vec<LimitsAction>) {
        let pools = &mut self.pools.pools;
        let old_len = pools.len();
        pools.retain(|account, _| catalog.client_accounts.contains_key(account));
        let mut is_changed = pools.len() != old_len;
        for account in catalog.client_accounts.keys() {
            if !pools.contains_key(account) {
                pools.insert(account, Default::default());
                is_changed = true;
            }
        }
        if is_changed {
            out.push(LimitsAction::PoolsChanged);
        }
    }
}
