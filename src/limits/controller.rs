//! The limits decision of one VM.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use super::draw_scheduler::DrawContext;
use super::draw_scheduler::DrawScheduler;
use super::draw_scheduler::DueDraws;
use super::draw_target::GrantOutcome;
use super::home_ledgers::HomeLedgers;
use super::region_leases::RegionLeases;
use super::AccountDraw;
use super::Draw;
use super::Grant;
use super::LimitsAction;
use super::LimitsMessage;
use super::LimitsSettings;
use super::Shard;
use super::ShardSet;
use super::TokenPools;
use crate::catalog::Catalog;
use crate::catalog::ClientAccountKey;
use crate::catalog::RegionKey;
use crate::catalog::VmKey;
use crate::clock::Monotonic;
use crate::membership::Incarnation;
use crate::membership::MembershipView;

/// The limits decision of one VM.
///
/// Published weights split rate and burst over regions. In each region one VM at a time, by a
/// lease of the majority, is the home of an account and accrues its share; every VM draws grants
/// from homes. Over all VMs, what is admitted of an account and used in any interval is at most
/// rate × time + burst, as long as
///
/// - the rosters of a region that are in use at the same time differ by a single VM at most,
/// - the monotonic clock of a process counts the time of a pause,
/// - clocks differ in speed by less than the clock slack over a lease,
/// - all VMs have the same rate, burst and shares of the account in force; while a change spreads,
///   the sum of the parts that are in force takes their place.
#[derive(Debug)]
pub struct LimitsController {
    settings: LimitsSettings,
    local_vm: VmKey,
    incarnation: Incarnation,
    leases: RegionLeases,
    ledgers: HomeLedgers,
    draws: DrawScheduler,
}

/// What an event finds: the time, the published objects and the other VMs.
struct Moment<'a> {
    now: Monotonic,
    catalog: &'a Catalog,
    view: &'a MembershipView,
    region: RegionKey,
}

/// Messages to VMs, this one perhaps among them, and actions that follow.
#[derive(Default)]
struct Outbox {
    queue: VecDeque<Outgoing>,
    actions: Vec<LimitsAction>,
}

struct Outgoing {
    to: VmKey,
    message: LimitsMessage,
}

impl Outbox {
    fn push(&mut self, to: VmKey, message: LimitsMessage) {
        self.queue.push_back(Outgoing { to, message });
    }
}

impl LimitsController {
    /// Creates the controller of a VM that starts at `now`.
    pub fn new(
        settings: LimitsSettings,
        local_vm: VmKey,
        incarnation: Incarnation,
        now: Monotonic,
    ) -> Self {
        Self {
            leases: RegionLeases::new(&settings, local_vm, incarnation, now),
            settings,
            local_vm,
            incarnation,
            ledgers: HomeLedgers::default(),
            draws: DrawScheduler::default(),
        }
    }

    /// Renews leases, draws tokens and reports; called several times a second.
    pub fn tick(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        view: &MembershipView,
        out: &mut Vec<LimitsAction>,
    ) {
        if self.draws.sync_pools(catalog) {
            out.push(LimitsAction::PoolsChanged);
        }
        if let Some(region) = self.region(catalog) {
            self.leases.put_roster(now, catalog, region);
        }
        let Some(moment) = self.enter(now, catalog, view, out) else {
            return;
        };
        let (change, sends) = self.leases.tick(now, catalog, view);
        self.note_acquired(&moment, change.acquired, out);
        out.extend(sends.into_iter().map(|send| LimitsAction::Send {
            to: send.to,
            message: send.message,
        }));
        let held = self.leases.held();
        self.ledgers.tick(now, catalog, moment.region, held);
        let due = self.with_draws(&moment, |draws, context| draws.tick(context));
        self.send_due(&moment, due, out);
    }

    /// Takes a message of another VM.
    pub fn on_message(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        view: &MembershipView,
        from: VmKey,
        message: LimitsMessage,
        out: &mut Vec<LimitsAction>,
    ) {
        let Some(moment) = self.enter(now, catalog, view, out) else {
            return;
        };
        match message {
            LimitsMessage::LeaseRequest(request) => {
                let answer = self.leases.on_request(now, from, &request);
                out.push(LimitsAction::Send {
                    to: from,
                    message: LimitsMessage::LeaseAnswer(answer),
                });
            }
            LimitsMessage::LeaseAnswer(answer) => {
                let acquired = self.leases.on_answer(now, from, &answer);
                self.note_acquired(&moment, acquired, out);
            }
            LimitsMessage::LeaseRelease(release) => self.leases.on_release(from, &release),
            LimitsMessage::Draw(_) | LimitsMessage::Grant(_) => {
                let mut outbox = Outbox::default();
                self.handle(&moment, from, message, &mut outbox);
                self.flush(&moment, outbox, out);
            }
        }
    }

    /// Draws the `missing_tokens` of a request that waits for them.
    pub fn request_tokens(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        view: &MembershipView,
        account: ClientAccountKey,
        missing_tokens: u64,
        out: &mut Vec<LimitsAction>,
    ) {
        let Some(moment) = self.enter(now, catalog, view, out) else {
            return;
        };
        let due = self.with_draws(&moment, |draws, context| {
            draws.request_tokens(context, account, missing_tokens)
        });
        self.send_due(&moment, due, out);
    }

    /// Drops everything that was granted to the VM before a pause.
    pub fn on_paused(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.leases.begin_incarnation(incarnation);
        self.ledgers.clear();
        self.draws.clear();
    }

    /// Returns the pools, to publish them.
    pub fn pools(&self) -> TokenPools {
        self.draws.pools()
    }

    /// Returns the shards whose accounts this VM accrues.
    pub fn held_shards(&self) -> ShardSet {
        self.leases.held()
    }

    /// Returns the tokens of an account that can be granted, if this VM is its home.
    pub fn balance_tokens(&self, account: ClientAccountKey) -> Option<u64> {
        self.ledgers.balance_tokens(account)
    }

    fn region(&self, catalog: &Catalog) -> Option<RegionKey> {
        Some(catalog.vms.get(self.local_vm)?.region)
    }

    /// Drops leases that have run out, before anything relies on them.
    fn enter<'a>(
        &mut self,
        now: Monotonic,
        catalog: &'a Catalog,
        view: &'a MembershipView,
        out: &mut Vec<LimitsAction>,
    ) -> Option<Moment<'a>> {
        let region = self.region(catalog)?;
        let lost = self.leases.drop_lost(now);
        if !lost.is_empty() {
            self.ledgers.close(catalog, lost);
            out.push(LimitsAction::LeaseLost { shards: lost });
        }
        Some(Moment {
            now,
            catalog,
            view,
            region,
        })
    }

    fn note_acquired(
        &mut self,
        moment: &Moment<'_>,
        acquired: ShardSet,
        out: &mut Vec<LimitsAction>,
    ) {
        if !acquired.is_empty() {
            self.ledgers
                .open(moment.now, moment.catalog, moment.region, acquired);
            out.push(LimitsAction::LeaseAcquired { shards: acquired });
        }
    }

    fn with_draws<T>(
        &mut self,
        moment: &Moment<'_>,
        act: impl FnOnce(&mut DrawScheduler, &DrawContext<'_>) -> T,
    ) -> T {
        let context = DrawContext {
            now: moment.now,
            catalog: moment.catalog,
            view: moment.view,
            leases: &self.leases,
            settings: &self.settings,
            region: moment.region,
        };
        act(&mut self.draws, &context)
    }

    fn send_due(&mut self, moment: &Moment<'_>, due: DueDraws, out: &mut Vec<LimitsAction>) {
        let mut outbox = Outbox::default();
        self.queue_due(due, &mut outbox);
        self.flush(moment, outbox, out);
    }

    /// Sends what is queued; what goes to this VM itself is handled at once.
    fn flush(&mut self, moment: &Moment<'_>, mut outbox: Outbox, out: &mut Vec<LimitsAction>) {
        while let Some(next) = outbox.queue.pop_front() {
            if next.to == self.local_vm {
                self.handle(moment, self.local_vm, next.message, &mut outbox);
            } else {
                out.push(LimitsAction::Send {
                    to: next.to,
                    message: next.message,
                });
            }
        }
        out.append(&mut outbox.actions);
    }

    fn handle(
        &mut self,
        moment: &Moment<'_>,
        from: VmKey,
        message: LimitsMessage,
        outbox: &mut Outbox,
    ) {
        match message {
            LimitsMessage::Draw(draw) => self.on_draw(moment, draw, outbox),
            LimitsMessage::Grant(grant) => self.on_grant(moment, from, &grant, outbox),
            _ => {}
        }
    }

    /// Answers the parts of a draw whose home this VM is and passes the others on, once.
    fn on_draw(&mut self, moment: &Moment<'_>, draw: Draw, outbox: &mut Outbox) {
        let accounts = self.ledgers.draw(
            moment.now,
            moment.catalog,
            &self.leases,
            &self.settings,
            &draw,
        );
        if !accounts.is_empty() {
            let grant = Grant {
                incarnation: draw.incarnation,
                accounts,
            };
            outbox.push(draw.holder, LimitsMessage::Grant(grant));
        }
        if !draw.is_relayed {
            self.relay(moment, draw, outbox);
        }
    }

    fn relay(&mut self, moment: &Moment<'_>, draw: Draw, outbox: &mut Outbox) {
        let mut by_home: BTreeMap<VmKey, Vec<AccountDraw>> = BTreeMap::new();
        for part in draw.accounts {
            let Some(account) = moment.catalog.client_accounts.get(part.account) else {
                continue;
            };
            let shard = Shard::of_account(&account.name);
            let home = self.leases.home(moment.now, shard);
            if let Some(home) = home.filter(|home| *home != self.local_vm) {
                by_home.entry(home).or_default().push(part);
            }
        }
        for (home, accounts) in by_home {
            let relayed = Draw {
                holder: draw.holder,
                incarnation: draw.incarnation,
                is_relayed: true,
                accounts,
            };
            outbox.push(home, LimitsMessage::Draw(relayed));
        }
    }

    fn on_grant(&mut self, moment: &Moment<'_>, from: VmKey, grant: &Grant, outbox: &mut Outbox) {
        if grant.incarnation != self.incarnation {
            return;
        }
        for part in &grant.accounts {
            let (outcome, due) =
                self.with_draws(moment, |draws, context| draws.on_grant(context, from, part));
            if outcome == GrantOutcome::Arrived {
                outbox.actions.push(LimitsAction::TokensArrived {
                    account: part.account,
                });
            }
            self.queue_due(due, outbox);
        }
    }

    fn queue_due(&self, due: DueDraws, outbox: &mut Outbox) {
        for (to, accounts) in due.draws {
            let draw = Draw {
                holder: self.local_vm,
                incarnation: self.incarnation,
                is_relayed: false,
                accounts,
            };
            outbox.push(to, LimitsMessage::Draw(draw));
        }
        let denied = due.denied.into_iter();
        outbox
            .actions
            .extend(denied.map(|denied| LimitsAction::TokensDenied {
                account: denied.account,
                reason: denied.reason,
            }));
    }
}
