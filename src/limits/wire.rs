//! Cap'n Proto encoding of limits messages.

use std::collections::HashMap;
use std::time::Duration;

use super::AccountDraw;
use super::AccountGrant;
use super::Draw;
use super::Grant;
use super::LeaseAnswer;
use super::LeaseRelease;
use super::LeaseRequest;
use super::LimitsMessage;
use super::LotReport;
use super::ShardSet;
use crate::catalog::Catalog;
use crate::catalog::ClientAccountKey;
use crate::membership::name_hash;
use crate::membership::vm_hash;
use crate::membership::vms_by_hash;
use crate::membership::Incarnation;
use crate::peer::generated::limits_capnp as wire;
use crate::peer::WireError;

type AccountsByHash = HashMap<u64, ClientAccountKey>;

impl LimitsMessage {
    /// Writes the message; objects that are not in `catalog` are written as hash 0.
    pub fn write(&self, catalog: &Catalog, to: wire::limits_message::Builder<'_>) {
        match self {
            Self::LeaseRequest(request) => request.write(to.init_lease_request()),
            Self::LeaseAnswer(answer) => answer.write(to.init_lease_answer()),
            Self::LeaseRelease(release) => release.write(to.init_lease_release()),
            Self::Draw(draw) => draw.write(catalog, to.init_draw()),
            Self::Grant(grant) => grant.write(catalog, to.init_grant()),
        }
    }

    /// Reads a message; parts for accounts that this VM does not know are left out.
    ///
    /// # Errors
    ///
    /// Returns a [`WireError`] if the bytes don't follow the schema, or if a draw comes from a VM
    /// that this VM does not know.
    pub fn read(
        from: wire::limits_message::Reader<'_>,
        catalog: &Catalog,
    ) -> Result<Self, WireError> {
        use wire::limits_message::Which;
        Ok(match from.which()? {
            Which::LeaseRequest(request) => Self::LeaseRequest(LeaseRequest::read(request?)),
            Which::LeaseAnswer(answer) => Self::LeaseAnswer(LeaseAnswer::read(answer?)),
            Which::LeaseRelease(release) => Self::LeaseRelease(LeaseRelease::read(release?)),
            Which::Draw(draw) => Self::Draw(Draw::read(draw?, catalog)?),
            Which::Grant(grant) => Self::Grant(Grant::read(grant?, catalog)?),
        })
    }
}

impl LeaseRequest {
    fn write(&self, mut to: wire::lease_request::Builder<'_>) {
        to.set_incarnation(self.incarnation.0);
        to.set_sequence(self.sequence);
        to.set_roster_hash(self.roster_hash);
        to.set_shards(self.shards.0);
        to.set_held(self.held.0);
    }

    fn read(from: wire::lease_request::Reader<'_>) -> Self {
        Self {
            incarnation: Incarnation(from.get_incarnation()),
            sequence: from.get_sequence(),
            roster_hash: from.get_roster_hash(),
            shards: ShardSet(from.get_shards()),
            held: ShardSet(from.get_held()),
        }
    }
}

impl LeaseAnswer {
    fn write(&self, mut to: wire::lease_answer::Builder<'_>) {
        to.set_incarnation(self.incarnation.0);
        to.set_sequence(self.sequence);
        to.set_shards(self.shards.0);
    }

    fn read(from: wire::lease_answer::Reader<'_>) -> Self {
        Self {
            incarnation: Incarnation(from.get_incarnation()),
            sequence: from.get_sequence(),
            shards: ShardSet(from.get_shards()),
        }
    }
}

impl LeaseRelease {
    fn write(&self, mut to: wire::lease_release::Builder<'_>) {
        to.set_incarnation(self.incarnation.0);
        to.set_sequence(self.sequence);
        to.set_shards(self.shards.0);
    }

    fn read(from: wire::lease_release::Reader<'_>) -> Self {
        Self {
            incarnation: Incarnation(from.get_incarnation()),
            sequence: from.get_sequence(),
            shards: ShardSet(from.get_shards()),
        }
    }
}

impl Draw {
    fn write(&self, catalog: &Catalog, mut to: wire::draw::Builder<'_>) {
        to.set_holder(vm_hash(catalog, self.holder));
        to.set_incarnation(self.incarnation.0);
        to.set_is_relayed(self.is_relayed);
        let mut accounts = to.init_accounts(len(self.accounts.len()));
        for (index, account) in self.accounts.iter().enumerate() {
            account.write(catalog, accounts.reborrow().get(len(index)));
        }
    }

    fn read(from: wire::draw::Reader<'_>, catalog: &Catalog) -> Result<Self, WireError> {
        let holder = vms_by_hash(catalog)
            .get(&from.get_holder())
            .copied()
            .ok_or_else(|| WireError::UnknownName {
                object: "VM",
                name: format!("{:016x}", from.get_holder()),
            })?;
        let known = accounts_by_hash(catalog);
        let mut accounts = Vec::new();
        for account in from.get_accounts()? {
            accounts.extend(AccountDraw::read(account, &known)?);
        }
        Ok(Self {
            holder,
            incarnation: Incarnation(from.get_incarnation()),
            is_relayed: from.get_is_relayed(),
            accounts,
        })
    }
}

impl AccountDraw {
    fn write(&self, catalog: &Catalog, mut to: wire::account_draw::Builder<'_>) {
        to.set_account(account_hash(catalog, self.account));
        to.set_number(self.number);
        to.set_need_tokens(self.need_tokens);
        to.set_unit_tokens(self.unit_tokens);
        to.set_ahead_tokens(self.ahead_tokens);
        if self.reports.is_empty() {
            return;
        }
        let mut reports = to.init_reports(len(self.reports.len()));
        for (index, report) in self.reports.iter().enumerate() {
            report.write(reports.reborrow().get(len(index)));
        }
    }

    fn read(
        from: wire::account_draw::Reader<'_>,
        known: &AccountsByHash,
    ) -> Result<Option<Self>, WireError> {
        let Some(account) = known.get(&from.get_account()) else {
            return Ok(None);
        };
        Ok(Some(Self {
            account: *account,
            number: from.get_number(),
            need_tokens: from.get_need_tokens(),
            unit_tokens: from.get_unit_tokens(),
            ahead_tokens: from.get_ahead_tokens(),
            reports: from.get_reports()?.iter().map(LotReport::read).collect(),
        }))
    }
}

impl LotReport {
    fn write(&self, mut to: wire::lot_report::Builder<'_>) {
        to.set_number(self.number);
        to.set_spent_tokens(self.spent_tokens);
        to.set_used_tokens(self.used_tokens);
        to.set_refunded_tokens(self.refunded_tokens);
        to.set_returned_tokens(self.returned_tokens);
    }

    fn read(from: wire::lot_report::Reader<'_>) -> Self {
        Self {
            number: from.get_number(),
            spent_tokens: from.get_spent_tokens(),
            used_tokens: from.get_used_tokens(),
            refunded_tokens: from.get_refunded_tokens(),
            returned_tokens: from.get_returned_tokens(),
        }
    }
}

impl Grant {
    fn write(&self, catalog: &Catalog, mut to: wire::grant::Builder<'_>) {
        to.set_incarnation(self.incarnation.0);
        let mut accounts = to.init_accounts(len(self.accounts.len()));
        for (index, account) in self.accounts.iter().enumerate() {
            account.write(catalog, accounts.reborrow().get(len(index)));
        }
    }

    fn read(from: wire::grant::Reader<'_>, catalog: &Catalog) -> Result<Self, WireError> {
        let known = accounts_by_hash(catalog);
        let accounts = from
            .get_accounts()?
            .iter()
            .filter_map(|account| AccountGrant::read(account, &known))
            .collect();
        Ok(Self {
            incarnation: Incarnation(from.get_incarnation()),
            accounts,
        })
    }
}

impl AccountGrant {
    fn write(&self, catalog: &Catalog, mut to: wire::account_grant::Builder<'_>) {
        to.set_account(account_hash(catalog, self.account));
        to.set_number(self.number);
        to.set_tokens(self.tokens);
        to.set_lifetime_ms(whole_ms(self.lifetime));
        to.set_retry_after_ms(whole_ms(self.retry_after));
    }

    fn read(from: wire::account_grant::Reader<'_>, known: &AccountsByHash) -> Option<Self> {
        Some(Self {
            account: *known.get(&from.get_account())?,
            number: from.get_number(),
            tokens: from.get_tokens(),
            lifetime: Duration::from_millis(u64::from(from.get_lifetime_ms())),
            retry_after: Duration::from_millis(u64::from(from.get_retry_after_ms())),
        })
    }
}

fn account_hash(catalog: &Catalog, account: ClientAccountKey) -> u64 {
    catalog
        .client_accounts
        .get(account)
        .map_or(0, |account| name_hash(&account.name))
}

fn accounts_by_hash(catalog: &Catalog) -> AccountsByHash {
    catalog
        .client_accounts
        .iter()
        .map(|(key, account)| (name_hash(&account.name), key))
        .collect()
}

/// Rounds down, so that a grant expires no later at its holder than at its home.
fn whole_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn len(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
