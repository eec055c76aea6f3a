//! The published usage of many accounts fits a datagram and covers all accounts in turn.

use std::collections::BTreeSet;

use figramp::catalog::Name;
use figramp::clock::Monotonic;
use figramp::deployment::AccountPolicy;
use figramp::deployment::HomeRegions;
use figramp::fleet::encode_message;
use figramp::fleet::AccountUsage;
use figramp::fleet::FleetMessage;
use figramp::fleet::MessageCrashes;
use figramp::fleet::MessageDigest;
use figramp::fleet::MessageVersions;
use figramp::fleet::NameHash;
use figramp::fleet::VmRow;
use figramp::quota::QuotaLimiter;

use crate::belief::support::at;
use crate::fleet::support::row;

/// The number of accounts of the required deployment.
const ACCOUNT_COUNT: usize = 650;

/// The largest payload of UDP over IPv4.
const DATAGRAM_MAX_BYTES: usize = 65_507;

/// The number of status rows in a datagram.
const ROW_COUNT: u8 = 21;

fn account(number: usize) -> AccountPolicy {
    AccountPolicy {
        name: Name::new(format!("account-{number}")).expect("a name"),
        priority: None,
        rate_per_s: Some(1_000.0),
        burst: 1_000.0,
        is_counted_in_tokens: true,
        undeclared_tokens: 200,
        home_regions: HomeRegions::Any,
    }
}

fn take(limiter: &mut QuotaLimiter, now: Monotonic, number: usize) {
    let account = account(number);
    limiter
        .try_take(now, &account, 100)
        .expect("within the rate");
}

/// Returns a limiter with usage of every account.
fn used_limiter() -> QuotaLimiter {
    let mut limiter = QuotaLimiter::new(0.25);
    for number in 0..ACCOUNT_COUNT {
        let _ = limiter.try_take(at(0), &account(number), 0);
        take(&mut limiter, at(1_000), number);
    }
    limiter
}

#[test]
fn a_datagram_with_many_accounts_fits() {
    let usage: Vec<AccountUsage> = used_limiter().next_usage();
    let rows = (1..=ROW_COUNT).map(|number| VmRow {
        usage: usage.clone(),
        ..row(number, 1)
    });
    let message = FleetMessage {
        sent_at: at(0),
        request_sent_at: None,
        digest: MessageDigest::default(),
        rows: rows.collect(),
        listing: None,
        crashes: MessageCrashes::default(),
        rates: Vec::new(),
        refusal_rates: Vec::new(),
        versions: MessageVersions::default(),
        ends: Vec::new(),
        processes: Vec::new(),
    };
    let bytes = encode_message(&message).expect("the message can be encoded");
    assert!(bytes.len() < DATAGRAM_MAX_BYTES, "{} bytes", bytes.len());
}

#[test]
fn every_account_is_published_in_turn() {
    let mut limiter = used_limiter();
    let rounds = ACCOUNT_COUNT.div_ceil(limiter.next_usage().len());
    let mut limiter = used_limiter();
    let published: BTreeSet<NameHash> = (0..rounds)
        .flat_map(|_| limiter.next_usage())
        .map(|usage| usage.account)
        .collect();
    assert_eq!(published.len(), ACCOUNT_COUNT);
}

#[test]
fn an_account_with_unpublished_usage_comes_first() {
    let mut limiter = used_limiter();
    for _ in 0..ACCOUNT_COUNT {
        limiter.next_usage();
    }
    let account_hash = NameHash::from(&account(7).name);
    take(&mut limiter, at(1_500), 7);
    let first = limiter.next_usage()[0];
    assert_eq!((first.account, first.units), (account_hash, 200));
}
