//! One VM's side of a lease: when it votes, when it accrues, and how long its grants live.

use std::time::Duration;

use figramp::catalog::ClientAccountKey;
use figramp::catalog::VmKey;
use figramp::clock::Monotonic;
use figramp::limits::AccountDraw;
use figramp::limits::AccountGrant;
use figramp::limits::Draw;
use figramp::limits::Grant;
use figramp::limits::LeaseAnswer;
use figramp::limits::LeaseRequest;
use figramp::limits::LimitsAction;
use figramp::limits::LimitsController;
use figramp::limits::LimitsMessage;
use figramp::limits::LimitsSettings;
use figramp::limits::ShardSet;
use figramp::membership::Incarnation;
use figramp::membership::Liveness;
use figramp::membership::Membership;
use figramp::membership::MembershipSettings;
use figramp::membership::MembershipView;
use figramp::membership::Roster;

use super::fleet::AccountPlan;
use super::fleet::Published;

const ALL: ShardSet = ShardSet(u64::MAX);
const LEASE_MS: u64 = 12_000;
const SLACK_MS: u64 = 200;
const TICK_MS: u64 = 100;

/// One VM of a region of three, the other two played by the test.
struct Bench {
    published: Published,
    controller: LimitsController,
    view: MembershipView,
    others: Vec<VmKey>,
    account: ClientAccountKey,
    now_ms: u64,
    sent: Vec<LimitsMessage>,
}

impl Bench {
    fn new() -> Self {
        let plan = AccountPlan {
            rate: 1_000,
            burst: 5_000,
            shares: Vec::new(),
        };
        let published = Published::new(1, 3, &[plan]);
        let catalog = published.latest();
        let mut vms: Vec<VmKey> = catalog.vms.keys().collect();
        let own = vms.remove(0);
        let start = Monotonic::ZERO;
        let incarnation = Incarnation(1);
        let membership = Membership::new(MembershipSettings::default(), own, incarnation, start);
        let mut view = membership.view(start, catalog);
        for vm in &vms {
            view.vms[*vm].liveness = Liveness::Dead;
        }
        Self {
            controller: LimitsController::new(LimitsSettings::default(), own, incarnation, start),
            account: catalog.client_accounts.keys().next().unwrap(),
            view,
            others: vms,
            now_ms: 0,
            sent: Vec::new(),
            published,
        }
    }

    fn now(&self) -> Monotonic {
        Monotonic::from_ms(self.now_ms)
    }

    fn tick_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            let mut out = Vec::new();
            let (now, catalog) = (self.now(), self.published.latest().clone());
            self.controller.tick(now, &catalog, &self.view, &mut out);
            self.note(out);
        }
    }

    fn tell(&mut self, message: LimitsMessage) {
        let mut out = Vec::new();
        let (now, catalog) = (self.now(), self.published.latest().clone());
        let from = self.others[0];
        self.controller
            .on_message(now, &catalog, &self.view, from, message, &mut out);
        self.note(out);
    }

    fn note(&mut self, actions: Vec<LimitsAction>) {
        self.sent = actions
            .into_iter()
            .filter_map(|action| match action {
                LimitsAction::Send { message, .. } => Some(message),
                _ => None,
            })
            .collect();
    }

    /// Lets the VM become the home; returns when it sent the request that was granted.
    fn become_home(&mut self) -> u64 {
        while !matches!(self.sent.first(), Some(LimitsMessage::LeaseRequest(_))) {
            self.tick_until(self.now_ms + TICK_MS);
        }
        let Some(LimitsMessage::LeaseRequest(request)) = self.sent.first().cloned() else {
            unreachable!()
        };
        self.tell(LimitsMessage::LeaseAnswer(LeaseAnswer {
            incarnation: request.incarnation,
            sequence: request.sequence,
            shards: request.shards,
        }));
        assert_eq!(self.controller.held_shards(), ALL);
        self.now_ms
    }

    fn draw(&mut self, number: u32, need_tokens: u32) -> Option<AccountGrant> {
        self.tell(LimitsMessage::Draw(Draw {
            holder: self.others[0],
            incarnation: Incarnation(1),
            is_relayed: false,
            accounts: vec![AccountDraw {
                account: self.account,
                number,
                need_tokens,
                unit_tokens: 1,
                ahead_tokens: 0,
                reports: Vec::new(),
            }],
        }));
        match self.sent.first() {
            Some(LimitsMessage::Grant(grant)) => Some(grant.accounts[0]),
            _ => None,
        }
    }

    fn ask_for_vote(&mut self, incarnation: u64, sequence: u32) -> ShardSet {
        let catalog = self.published.latest().clone();
        let region = catalog.regions.keys().next().unwrap();
        self.tell(LimitsMessage::LeaseRequest(LeaseRequest {
            incarnation: Incarnation(incarnation),
            sequence,
            roster_hash: Roster::of_region(&catalog, region).hash,
            shards: ALL,
            held: ShardSet::default(),
        }));
        match self.sent.first() {
            Some(LimitsMessage::LeaseAnswer(answer)) => answer.shards,
            _ => unreachable!(),
        }
    }
}

#[test]
fn a_voter_that_started_gives_no_vote_for_one_lease() {
    let mut bench = Bench::new();
    bench.tick_until(LEASE_MS);
    assert!(bench.ask_for_vote(1, 1).is_empty());
}

#[test]
fn a_vote_binds_the_voter_for_one_lease_against_other_incarnations() {
    let mut bench = Bench::new();
    bench.view.vms[bench.view.own].is_leaving = true;
    bench.tick_until(LEASE_MS + 2 * SLACK_MS);
    assert_eq!(bench.ask_for_vote(1, 1), ALL);
    bench.tick_until(bench.now_ms + LEASE_MS - TICK_MS);
    assert!(bench.ask_for_vote(2, 1).is_empty());
    bench.tick_until(bench.now_ms + TICK_MS);
    assert_eq!(bench.ask_for_vote(2, 1), ALL);
}

#[test]
fn a_new_home_starts_empty() {
    let mut bench = Bench::new();
    bench.become_home();
    assert_eq!(bench.draw(1, 1).unwrap().tokens, 0);
    bench.tick_until(bench.now_ms + 1_000);
    assert_eq!(bench.draw(2, 5_000).unwrap().tokens, 1_000);
}

#[test]
fn a_grant_ends_with_the_lease() {
    let mut bench = Bench::new();
    let sent_ms = bench.become_home();
    let end_ms = sent_ms + LEASE_MS - SLACK_MS;
    bench.tick_until(end_ms - 1_000);
    let grant = bench.draw(1, 10).unwrap();
    assert!(grant.tokens > 0);
    assert!(grant.lifetime <= Duration::from_millis(1_000 - SLACK_MS));
}

#[test]
fn a_home_without_votes_stops_at_the_end_of_its_lease() {
    let mut bench = Bench::new();
    let sent_ms = bench.become_home();
    bench.tick_until(sent_ms + LEASE_MS - SLACK_MS - TICK_MS);
    assert_eq!(bench.controller.held_shards(), ALL);
    bench.now_ms += TICK_MS;
    assert_eq!(bench.draw(1, 1), None);
    assert!(bench.controller.held_shards().is_empty());
    assert_eq!(bench.controller.balance_tokens(bench.account), None);
}

#[test]
fn a_pause_ends_all_leases_and_grants() {
    let mut bench = Bench::new();
    bench.become_home();
    bench.tick_until(bench.now_ms + 1_000);
    bench.controller.on_paused(Incarnation(2));
    assert_eq!(bench.draw(1, 1), None);
    assert!(bench.controller.held_shards().is_empty());
}

#[test]
fn a_grant_lives_from_the_time_when_its_draw_was_sent() {
    let mut bench = Bench::new();
    bench.view.vms[bench.view.own].is_leaving = true;
    bench.tick_until(TICK_MS);
    bench.tell(LimitsMessage::LeaseRequest(LeaseRequest {
        incarnation: Incarnation(1),
        sequence: 1,
        roster_hash: 0,
        shards: ALL,
        held: ALL,
    }));
    let catalog = bench.published.latest().clone();
    let (now, account) = (bench.now(), bench.account);
    let mut out = Vec::new();
    let controller = &mut bench.controller;
    controller.request_tokens(now, &catalog, &bench.view, account, 100, &mut out);
    bench.note(out);
    let Some(LimitsMessage::Draw(draw)) = bench.sent.first().cloned() else {
        panic!("no draw was sent");
    };
    let sent_ms = bench.now_ms;
    bench.now_ms += 300;
    let grant = AccountGrant {
        account,
        number: draw.accounts[0].number,
        tokens: 100,
        lifetime: Duration::from_millis(500),
        retry_after: Duration::ZERO,
    };
    for _ in 0..2 {
        bench.tell(LimitsMessage::Grant(Grant {
            incarnation: Incarnation(1),
            accounts: vec![grant],
        }));
    }
    let pools = bench.controller.pools();
    let pool = pools.get(account).unwrap();
    assert_eq!(
        pool.available_tokens(Monotonic::from_ms(sent_ms + 499)),
        100
    );
    assert_eq!(pool.available_tokens(Monotonic::from_ms(sent_ms + 500)), 0);
}
