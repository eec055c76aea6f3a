//! The rate limiter of one VM, as a state machine without I/O.

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

/// The rate limiter of one VM, as a state machine without I/O.
///
/// Published weights split rate and burst over regions. In each region, a lease granted by a
/// majority of its VMs makes one VM at a time the home of an account, which accrues the region's
/// share; every VM draws grants from homes. Over all VMs, the tokens of an account that are
/// admitted and used in any interval are at most rate × time + burst, as long as
///
/// - the rosters of a region that are in use at the same time differ by a single VM at most,
/// - the monotonic clock of a process keeps running while the process is paused,
/// - clocks drift apart by less than the clock slack during a lease,
/// - all VMs use the same rate, burst and shares of the account; while a change spreads, the sum of
///   the shares in use takes their place.
#[derive(Debug)]
pub struct LimitsController {
    settings: LimitsSettings,
    local_vm: VmKey,
    incarnation: Incarnation,
    leases: RegionLeases,
    ledgers: HomeLedgers,
    draws: DrawScheduler,
}

/// The state in which an event is handled: the time, the published objects, the view of other VMs
/// and the local region.
struct EventContext<'a> {
    now: Monotonic,
    catalog: &'a Catalog,
    view: &'a MembershipView,
    region: RegionKey,
}

/// Queued messages to VMs, possibly to this one, and the actions that follow.
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

    /// Renews leases, draws tokens and sends reports; called several times a second.
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
        let Some(event) = self.begin_event(now, catalog, view, out) else {
            return;
        };
        let (change, sends) = self.leases.tick(now, catalog, view);
        self.on_acquired(&event, change.acquired, out);
        out.extend(sends.into_iter().map(|send| LimitsAction::Send {
            to: send.to,
            message: send.message,
        }));
        let held = self.leases.held();
        self.ledgers.tick(now, catalog, event.region, held);
        let due = self.with_draws(&event, |draws, context| draws.tick(context));
        self.send_due(&event, due, out);
    }

    /// Handles a message of another VM.
    pub fn on_message(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        view: &MembershipView,
        from: VmKey,
        message: LimitsMessage,
        out: &mut Vec<LimitsAction>,
    ) {
        let Some(event) = self.begin_event(now, catalog, view, out) else {
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
                self.on_acquired(&event, acquired, out);
            }
            LimitsMessage::LeaseRelease(release) => self.leases.on_release(from, &release),
            LimitsMessage::Draw(_) | LimitsMessage::Grant(_) => {
                let mut outbox = Outbox::default();
                self.handle(&event, from, message, &mut outbox);
                self.flush(&event, outbox, out);
            }
        }
    }

    /// Draws the `missing_tokens` that a waiting request lacks.
    pub fn request_tokens(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        view: &MembershipView,
        account: ClientAccountKey,
        missing_tokens: u64,
        out: &mut Vec<LimitsAction>,
    ) {
        let Some(event) = self.begin_event(now, catalog, view, out) else {
            return;
        };
        let due = self.with_draws(&event, |draws, context| {
            draws.request_tokens(context, account, missing_tokens)
        });
        self.send_due(&event, due, out);
    }

    /// Drops all leases, ledgers and grants of the VM after its process was paused.
    pub fn on_paused(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.leases.begin_incarnation(incarnation);
        self.ledgers.clear();
        self.draws.clear();
    }

    /// Returns a snapshot of the token pools.
    pub fn pools(&self) -> TokenPools {
        self.draws.pools()
    }

    /// Returns the shards whose leases this VM holds.
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

    /// Drops expired leases, before anything relies on them.
    fn begin_event<'a>(
        &mut self,
        now: Monotonic,
        catalog: &'a Catalog,
        view: &'a MembershipView,
        out: &mut Vec<LimitsAction>,
    ) -> Option<EventContext<'a>> {
        let region = self.region(catalog)?;
        let lost = self.leases.drop_lost(now);
        if !lost.is_empty() {
            self.ledgers.close(catalog, lost);
            out.push(LimitsAction::LeaseLost { shards: lost });
        }
        Some(EventContext {
            now,
            catalog,
            view,
            region,
        })
    }

    fn on_acquired(
        &mut self,
        event: &EventContext<'_>,
        acquired: ShardSet,
        out: &mut Vec<LimitsAction>,
    ) {
        if !acquired.is_empty() {
            self.ledgers
                .open(event.now, event.catalog, event.region, acquired);
            out.push(LimitsAction::LeaseAcquired { shards: acquired });
        }
    }

    fn with_draws<T>(
        &mut self,
        event: &EventContext<'_>,
        act: impl FnOnce(&mut DrawScheduler, &DrawContext<'_>) -> T,
    ) -> T {
        let context = DrawContext {
            now: event.now,
            catalog: event.catalog,
            view: event.view,
            leases: &self.leases,
            settings: &self.settings,
            region: event.region,
        };
        act(&mut self.draws, &context)
    }

    fn send_due(&mut self, event: &EventContext<'_>, due: DueDraws, out: &mut Vec<LimitsAction>) {
        let mut outbox = Outbox::default();
        self.queue_due(due, &mut outbox);
        self.flush(event, outbox, out);
    }

    /// Sends the queued messages; those to this VM itself are handled at once.
    fn flush(&mut self, event: &EventContext<'_>, mut outbox: Outbox, out: &mut Vec<LimitsAction>) {
        while let Some(next) = outbox.queue.pop_front() {
            if next.to == self.local_vm {
                self.handle(event, self.local_vm, next.message, &mut outbox);
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
        event: &EventContext<'_>,
        from: VmKey,
        message: LimitsMessage,
        outbox: &mut Outbox,
    ) {
        match message {
            LimitsMessage::Draw(draw) => self.on_draw(event, draw, outbox),
            LimitsMessage::Grant(grant) => self.on_grant(event, from, &grant, outbox),
            _ => {}
        }
    }

    /// Answers the parts of a draw for accounts whose home is this VM, and relays the others unless
    /// the draw was already relayed.
    fn on_draw(&mut self, event: &EventContext<'_>, draw: Draw, outbox: &mut Outbox) {
        let accounts = self.ledgers.draw(
            event.now,
            event.catalog,
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
            self.relay(event, draw, outbox);
        }
    }

    fn relay(&mut self, event: &EventContext<'_>, draw: Draw, outbox: &mut Outbox) {
        let mut by_home: BTreeMap<VmKey, Vec<AccountDraw>> = BTreeMap::new();
        for part in draw.accounts {
            let Some(account) = event.catalog.client_accounts.get(part.account) else {
                continue;
            };
            let shard = Shard::of_account(&account.name);
            let home = self.leases.home(event.now, shard);
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

    fn on_grant(
        &mut self,
        event: &EventContext<'_>,
        from: VmKey,
        grant: &Grant,
        outbox: &mut Outbox,
    ) {
        if grant.incarnation != self.incarnation {
            return;
        }
        for part in &grant.accounts {
            let (outcome, due) =
                self.with_draws(event, |draws, context| draws.on_grant(context, from, part));
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
