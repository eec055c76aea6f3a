//! The token pools of all client accounts on one VM.

use std::sync::Arc;

use slotmap::SecondaryMap;

use super::TokenPool;
use crate::catalog::ClientAccountKey;

/// The token pools of all client accounts on one VM, published as a snapshot to the tasks of
/// requests.
#[derive(Clone, Debug, Default)]
pub struct TokenPools {
    /// The pool of each published account.
    pub pools: SecondaryMap<ClientAccountKey, Arc<TokenPool>>,
}

impl TokenPools {
    /// Returns the pool of an account.
    pub fn get(&self, account: ClientAccountKey) -> Option<&Arc<TokenPool>> {
        self.pools.get(account)
    }
}
