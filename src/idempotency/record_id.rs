//! Identifiers of calls and their duplicates.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::catalog::Catalog;
use crate::catalog::ClientAccountKey;
use crate::request::Call;
use crate::request::IdempotencyKey;

/// Identifies a call and its duplicates.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordId {
    /// The client account; `None` for callers of open routes without a key.
    pub client_account: Option<ClientAccountKey>,
    /// The idempotency key, chosen by the caller.
    pub key: IdempotencyKey,
}

impl RecordId {
    /// Returns the identifier of a call, or `None` if it carries no idempotency key.
    pub fn of_call(call: &Call) -> Option<Self> {
        Some(Self {
            client_account: call.client_account,
            key: call.idempotency_key.clone()?,
        })
    }

    /// Returns the hash that places the record; it is the same on every VM.
    pub fn placement_hash(&self, catalog: &Catalog) -> u64 {
        let account = self
            .client_account
            .and_then(|key| catalog.client_accounts.get(key));
        let account_hash = account.map_or(0, |account| {
            xxh3_64_with_seed(account.name.as_str().as_bytes(), 1)
        });
        xxh3_64_with_seed(self.key.as_str().as_bytes(), account_hash)
    }
}
