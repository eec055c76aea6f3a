//! The ledger of a home: reordered and duplicated reports, refunds, shares.

use std::time::Duration;

use figramp::catalog::Catalog;
use figramp::catalog::ClientAccountKey;
use figramp::catalog::VmKey;
use figramp::clock::Monotonic;
use figramp::limits::AccountDraw;
use figramp::limits::AccountGrant;
use figramp::limits::GrantTerms;
use figramp::limits::HomeLedger;
use figramp::limits::LotReport;
use figramp::limits::Share;
use figramp::membership::Incarnation;
use quickcheck::quickcheck;

use super::fleet::AccountPlan;
use super::fleet::Published;

const BURST: u32 = 1_000;

fn published(shares: Vec<u32>) -> Published {
    let plan = AccountPlan {
        rate: 100,
        burst: u64::from(BURST),
        shares,
    };
    Published::new(3, 1, &[plan])
}

fn account(catalog: &Catalog) -> ClientAccountKey {
    catalog.client_accounts.keys().next().unwrap()
}

struct Fixture {
    ledger: HomeLedger,
    holder: VmKey,
    account: ClientAccountKey,
}

impl Fixture {
    /// Creates a ledger that has filled up to the burst of the only region with a share.
    fn full() -> Self {
        let published = published(vec![1, 0, 0]);
        let catalog = published.latest();
        let account = account(catalog);
        let region = catalog.client_accounts[account].region_shares[0].region;
        let share = Share::of_region(&catalog.client_accounts[account], region).unwrap();
        let mut ledger = HomeLedger::new(Monotonic::ZERO, share);
        ledger.accrue(at(1_000));
        let holder = catalog.vms.keys().next().unwrap();
        Self {
            ledger,
            holder,
            account,
        }
    }

    fn draw(&mut self, at_s: u64, number: u32, need: u32, reports: Vec<LotReport>) -> Option<u32> {
        let draw = AccountDraw {
            account: self.account,
            number,
            need_tokens: need,
            unit_tokens: need,
            ahead_tokens: 0,
            reports,
        };
        let terms = GrantTerms {
            lifetime: Duration::from_secs(5),
            clock_slack: Duration::ZERO,
            refund_window: Duration::from_secs(60),
            is_local: true,
        };
        let grant: Option<AccountGrant> =
            self.ledger
                .draw(at(at_s), self.holder, Incarnation(1), &draw, terms);
        grant.map(|grant| grant.tokens)
    }
}

fn at(s: u64) -> Monotonic {
    Monotonic::from_ms(s * 1_000)
}

fn report(number: u32, spent: u32, used: u32, refunded: u32, returned: u32) -> LotReport {
    LotReport {
        number,
        spent_tokens: spent,
        used_tokens: used,
        refunded_tokens: refunded,
        returned_tokens: returned,
    }
}

#[test]
fn a_draw_is_answered_once() {
    let mut fixture = Fixture::full();
    assert_eq!(fixture.draw(1_000, 1, 400, Vec::new()), Some(400));
    assert_eq!(fixture.draw(1_000, 1, 400, Vec::new()), None);
    assert_eq!(fixture.ledger.balance_tokens(), 600);
}

#[test]
fn a_refund_is_credited_once() {
    let mut fixture = Fixture::full();
    fixture.draw(1_000, 1, 1_000, Vec::new());
    let refund = report(1, 1_000, 300, 700, 0);
    fixture.draw(1_000, 0, 0, vec![refund, refund]);
    fixture.draw(1_000, 0, 0, vec![refund]);
    assert_eq!(fixture.ledger.balance_tokens(), 700);
}

#[test]
fn accrual_replaces_a_late_refund() {
    let mut fixture = Fixture::full();
    fixture.draw(1_000, 1, 1_000, Vec::new());
    fixture.draw(1_000, 0, 0, vec![report(1, 1_000, 0, 0, 0)]);
    fixture.draw(1_020, 0, 0, vec![report(1, 1_000, 0, 1_000, 0)]);
    assert_eq!(fixture.ledger.balance_tokens(), u64::from(BURST));
}

#[test]
fn a_forfeited_refund_cannot_use_the_headroom_of_a_later_request() {
    let mut fixture = Fixture::full();
    fixture.draw(1_000, 1, 1_000, Vec::new());
    fixture.draw(1_000, 0, 0, vec![report(1, 1_000, 0, 0, 0)]);
    assert_eq!(fixture.draw(1_020, 2, 1_000, Vec::new()), Some(1_000));
    let reports = vec![report(2, 1_000, 0, 0, 0), report(1, 1_000, 0, 1_000, 0)];
    fixture.draw(1_020, 0, 0, reports);
    assert_eq!(fixture.ledger.balance_tokens(), 0);
}

#[test]
fn accrual_forfeits_only_as_much_of_a_refund_as_it_needs() {
    let mut fixture = Fixture::full();
    fixture.draw(1_000, 1, 1_000, Vec::new());
    fixture.draw(1_000, 0, 0, vec![report(1, 1_000, 0, 0, 0)]);
    fixture.ledger.accrue(at(1_002));
    assert_eq!(fixture.ledger.balance_tokens(), 200);
    fixture.draw(1_002, 0, 0, vec![report(1, 1_000, 300, 700, 0)]);
    assert_eq!(fixture.ledger.balance_tokens(), 700);
}

#[test]
fn accrual_forfeits_the_newest_refund_first() {
    let mut fixture = Fixture::full();
    fixture.draw(1_000, 1, 500, Vec::new());
    fixture.draw(1_000, 0, 0, vec![report(1, 500, 0, 0, 0)]);
    fixture.draw(1_001, 2, 500, Vec::new());
    fixture.draw(1_001, 0, 0, vec![report(2, 500, 0, 0, 0)]);
    fixture.ledger.accrue(at(1_003));
    fixture.draw(1_003, 0, 0, vec![report(1, 500, 0, 500, 0)]);
    assert_eq!(fixture.ledger.balance_tokens(), 700);
}

#[test]
fn a_refund_leaves_the_tokens_that_its_holder_can_still_spend() {
    let mut fixture = Fixture::full();
    fixture.draw(1_000, 1, 1_000, Vec::new());
    fixture.draw(1_000, 0, 0, vec![report(1, 500, 0, 0, 0)]);
    fixture.ledger.accrue(at(1_004));
    assert_eq!(fixture.ledger.balance_tokens(), 400);
    fixture.draw(1_004, 0, 0, vec![report(1, 500, 0, 500, 0)]);
    assert_eq!(fixture.ledger.balance_tokens(), 500);
}

#[test]
fn tokens_of_a_live_grant_hold_back_accrual() {
    let mut fixture = Fixture::full();
    fixture.draw(1_000, 1, 1_000, Vec::new());
    fixture.ledger.accrue(at(1_004));
    assert_eq!(fixture.ledger.balance_tokens(), 0);
    fixture.ledger.accrue(at(1_006));
    assert_eq!(fixture.ledger.balance_tokens(), 200);
}

quickcheck! {
    fn reordered_and_duplicated_reports_end_like_the_last_one(steps: Vec<(u8, u8)>, swaps: Vec<usize>) -> bool {
        let mut spent = 0;
        let mut used = 0;
        let mut reports: Vec<LotReport> = steps
            .iter()
            .map(|(more, share)| {
                let more = u32::from(*more).min(BURST - spent);
                spent += more;
                used += more * u32::from(*share) / 255;
                report(1, spent, used, spent - used, 0)
            })
            .collect();
        reports.push(report(1, spent, used, spent - used, BURST - spent));
        let mut in_order = Fixture::full();
        in_order.draw(1_000, 1, BURST, Vec::new());
        in_order.draw(1_000, 0, 0, reports.clone());
        for swap in swaps {
            let len = reports.len();
            reports.swap(swap % len, 0);
            reports.push(reports[0]);
        }
        let mut reordered = Fixture::full();
        reordered.draw(1_000, 1, BURST, Vec::new());
        reordered.draw(1_000, 0, 0, reports);
        let expected = u64::from(BURST - used);
        in_order.ledger.balance_tokens() == expected
            && reordered.ledger.balance_tokens() <= expected
    }

    fn shares_sum_up_to_the_whole_burst(weights: (u8, u8, u8)) -> bool {
        let weights = vec![weights.0, weights.1, weights.2];
        let weights: Vec<u32> = weights.into_iter().map(u32::from).collect();
        let published = published(weights);
        let catalog = published.latest();
        let account = &catalog.client_accounts[account(catalog)];
        let shares = catalog
            .regions
            .keys()
            .filter_map(|region| Share::of_region(account, region));
        shares.map(|share| share.burst_tokens).sum::<u64>() == u64::from(BURST)
    }
}
