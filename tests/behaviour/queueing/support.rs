//! Accounts, routes and items for tests of the queue.

use std::time::Duration;

use figramp::catalog::Catalog;
use figramp::catalog::ClientAccountKey;
use figramp::catalog::Repeatability;
use figramp::catalog::RouteKey;
use figramp::catalog::WorkClass;
use figramp::clock::Monotonic;
use figramp::queueing::QueueItem;

use crate::routing::published;
use crate::routing::published::Published;

pub const START: Monotonic = Monotonic::from_ms(1_000);
pub const START_TIMEOUT: Duration = Duration::from_secs(3_600);

pub struct Keys {
    pub accounts: Vec<ClientAccountKey>,
    pub tips: RouteKey,
    pub plans: RouteKey,
}

pub fn keys() -> Keys {
    let names: Vec<String> = (0..4).map(|index| format!("account-{index}")).collect();
    let mut objects = Published::default()
        .regions(&["north"], 1, 1)
        .route("tips", WorkClass::Interactive, Repeatability::Idempotent)
        .route("plans", WorkClass::Long, Repeatability::Idempotent);
    for name in &names {
        objects = objects.account(name, &["north"], 1);
    }
    let catalog = objects.build(&Catalog::default());
    Keys {
        accounts: names
            .iter()
            .map(|name| published::account(&catalog, name))
            .collect(),
        tips: published::route(&catalog, "tips"),
        plans: published::route(&catalog, "plans"),
    }
}

/// Returns an interactive request whose payload is the index of its account.
pub fn item(keys: &Keys, account: usize, cost_tokens: u64) -> QueueItem<usize> {
    QueueItem {
        client_account: Some(keys.accounts[account]),
        key_digest: None,
        weight: 1,
        class: WorkClass::Interactive,
        route: keys.tips,
        cost_tokens,
        start_by: START + START_TIMEOUT,
        payload: account,
    }
}

/// Returns a long request whose payload is the index of its account.
pub fn long_item(keys: &Keys, account: usize, cost_tokens: u64) -> QueueItem<usize> {
    QueueItem {
        class: WorkClass::Long,
        route: keys.plans,
        ..item(keys, account, cost_tokens)
    }
}
