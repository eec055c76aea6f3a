//! Leases as one VM sees them: when it votes, when it is a home, and how long its grants live.

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

const ALL_SHARDS: ShardSet = ShardSet(u64::MAX);
const LEASE_MS: u64 = 12_000;
const CLOCK_SLACK_MS: u64 = 200;
const TICK_MS: u64 = 100;

/// One VM of a region of three; the test plays the other two.
struct Fixture {
    published: Published,
    controller: LimitsController,
    view: MembershipView,
    others: Vec<VmKey>,
    account: ClientAccountKey,
    now_ms: u64,
    sent: Vec<LimitsMessage>,
}

impl Fixture {
    fn new() -> Self {
        let plan = AccountPlan {
            rate: 1_000,
            burst: 5_000,
            shares: Vec::new(),
        };
        let published = Published::new(1, 3, &[plan]);
        let catalog = published.latest();
        let mut vms: Vec<VmKey> = catalog.vms.keys().collect();
        let local_vm = vms.remove(0);
        let start = Monotonic::ZERO;
        let incarnation = Incarnation(1);
        let membership =
            Membership::new(MembershipSettings::default(), local_vm, incarnation, start);
        let mut view = membership.view(start, catalog);
        for vm in &vms {
            view.vms[*vm].liveness = Liveness::Dead;
        }
        Self {
            controller: LimitsController::new(
                LimitsSettings::default(),
                local_vm,
                incarnation,
                start,
            ),
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
            self.record_sent(out);
        }
    }

    fn receive(&mut self, message: LimitsMessage) {
        let mut out = Vec::new();
        let (now, catalog) = (self.now(), self.published.latest().clone());
        let from = self.others[0];
        self.controller
            .on_message(now, &catalog, &self.view, from, message, &mut out);
        self.record_sent(out);
    }

    fn record_sent(&mut self, actions: Vec<LimitsAction>) {
        self.sent = actions
            .into_iter()
            .filter_map(|action| match action {
                LimitsAction::Send { message, .. } => Some(message),
                _ => None,
            })
            .collect();
    }

    /// Makes the VM the home; returns when it sent the lease request that was granted.
    fn become_home(&mut self) -> u64 {
        while !matches!(self.sent.first(), Some(LimitsMessage::LeaseRequest(_))) {
            self.tick_until(self.now_ms + TICK_MS);
        }
        let Some(LimitsMessage::LeaseRequest(request)) = self.sent.first().cloned() else {
            unreachable!()
        };
        self.receive(LimitsMessage::LeaseAnswer(LeaseAnswer {
            incarnation: request.incarnation,
            sequence: request.sequence,
            shards: request.shards,
        }));
        assert_eq!(self.controller.held_shards(), ALL_SHARDS);
        self.now_ms
    }

    fn draw(&mut self, number: u32, need_tokens: u32) -> Option<AccountGrant> {
        self.receive(LimitsMessage::Draw(Draw {
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
        self.receive(LimitsMessage::LeaseRequest(LeaseRequest {
            incarnation: Incarnation(incarnation),
            sequence,
            roster_hash: Roster::of_region(&catalog, region).hash,
            shards: ALL_SHARDS,
            held: ShardSet::default(),
        }));
        match self.sent.first() {
            Some(LimitsMessage::LeaseAnswer(answer)) => answer.shards,
            _ => unreachable!(),
        }
    }
}

#[test]
fn a_newly_started_voter_gives_no_vote_for_one_lease() {
    let mut fixture = Fixture::new();
    fixture.tick_until(LEASE_MS);
    assert!(fixture.ask_for_vote(1, 1).is_empty());
}

#[test]
fn a_vote_binds_the_voter_for_one_lease_against_other_incarnations() {
    let mut fixture = Fixture::new();
    fixture.view.vms[fixture.view.local_vm].is_leaving = true;
    fixture.tick_until(LEASE_MS + 2 * CLOCK_SLACK_MS);
    assert_eq!(fixture.ask_for_vote(1, 1), ALL_SHARDS);
    fixture.tick_until(fixture.now_ms + LEASE_MS - TICK_MS);
    assert!(fixture.ask_for_vote(2, 1).is_empty());
    fixture.tick_until(fixture.now_ms + TICK_MS);
    assert_eq!(fixture.ask_for_vote(2, 1), ALL_SHARDS);
}

#[test]
fn a_new_home_starts_empty() {
    let mut fixture = Fixture::new();
    fixture.become_home();
    assert_eq!(fixture.draw(1, 1).unwrap().tokens, 0);
    fixture.tick_until(fixture.now_ms + 1_000);
    assert_eq!(fixture.draw(2, 5_000).unwrap().tokens, 1_000);
}

#[test]
fn a_grant_ends_with_the_lease() {
    let mut fixture = Fixture::new();
    let sent_ms = fixture.become_home();
    let end_ms = sent_ms + LEASE_MS - CLOCK_SLACK_MS;
    fixture.tick_until(end_ms - 1_000);
    let grant = fixture.draw(1, 10).unwrap();
    assert!(grant.tokens > 0);
    assert!(grant.lifetime <= Duration::from_millis(1_000 - CLOCK_SLACK_MS));
}

#[test]
fn a_home_without_votes_stops_at_the_end_of_its_lease() {
    let mut fixture = Fixture::new();
    let sent_ms = fixture.become_home();
    fixture.tick_until(sent_ms + LEASE_MS - CLOCK_SLACK_MS - TICK_MS);
    assert_eq!(fixture.controller.held_shards(), ALL_SHARDS);
    fixture.now_ms += TICK_MS;
    assert_eq!(fixture.draw(1, 1), None);
    assert!(fixture.controller.held_shards().is_empty());
    assert_eq!(fixture.controller.balance_tokens(fixture.account), None);
}

#[test]
fn a_pause_ends_all_leases_and_grants() {
    let mut fixture = Fixture::new();
    fixture.become_home();
    fixture.tick_until(fixture.now_ms + 1_000);
    fixture.controller.on_paused(Incarnation(2));
    assert_eq!(fixture.draw(1, 1), None);
    assert!(fixture.controller.held_shards().is_empty());
}

#[test]
fn a_grant_lives_from_the_time_when_its_draw_was_sent() {
    let mut fixture = Fixture::new();
    fixture.view.vms[fixture.view.local_vm].is_leaving = true;
    fixture.tick_until(TICK_MS);
    fixture.receive(LimitsMessage::LeaseRequest(LeaseRequest {
        incarnation: Incarnation(1),
        sequence: 1,
        roster_hash: 0,
        shards: ALL_SHARDS,
        held: ALL_SHARDS,
    }));
    let catalog = fixture.published.latest().clone();
    let (now, account) = (fixture.now(), fixture.account);
    let mut out = Vec::new();
    let controller = &mut fixture.controller;
    controller.request_tokens(now, &catalog, &fixture.view, account, 100, &mut out);
    fixture.record_sent(out);
    let Some(LimitsMessage::Draw(draw)) = fixture.sent.first().cloned() else {
        panic!("no draw was sent");
    };
    let sent_ms = fixture.now_ms;
    fixture.now_ms += 300;
    let grant = AccountGrant {
        account,
        number: draw.accounts[0].number,
        tokens: 100,
        lifetime: Duration::from_millis(500),
        retry_after: Duration::ZERO,
    };
    for _ in 0..2 {
        fixture.receive(LimitsMessage::Grant(Grant {
            incarnation: Incarnation(1),
            accounts: vec![grant],
        }));
    }
    let pools = fixture.controller.pools();
    let pool = pools.get(account).unwrap();
    assert_eq!(
        pool.available_tokens(Monotonic::from_ms(sent_ms + 499)),
        100
    );
    assert_eq!(pool.available_tokens(Monotonic::from_ms(sent_ms + 500)), 0);
}
