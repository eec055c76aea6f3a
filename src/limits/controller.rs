//! The limits decision of one VM.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use super::account_draws::GrantOutcome;
use super::draw_desk::DrawContext;
use super::draw_desk::DrawDesk;
use super::draw_desk::DueDraws;
use super::home_books::HomeBooks;
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
    own: VmKey,
    incarnation: Incarnation,
    leases: RegionLeases,
    books: HomeBooks,
    desk: DrawDesk,
}

/// A message on its way to a VM that may be this one.
struct Outgoing {
    to: VmKey,
    message: LimitsMessage,
}

impl LimitsController {
    /// Creates the controller of a VM that starts at `now`.
    pub fn new(
        settings: LimitsSettings,
        own: VmKey,
        incarnation: Incarnation,
        now: Monotonic,
    ) -> Self {
        Self {
            leases: RegionLeases::new(&settings, own, incarnation, now),
            settings,
            own,
            incarnation,
            books: HomeBooks::default(),
            desk: DrawDesk::default(),
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
        if self.desk.sync_pools(catalog) {
            out.push(LimitsAction::PoolsChanged);
        }
        if let Some(region) = self.region(catalog) {
            self.leases.put_roster(now, catalog, region);
        }
        let Some(region) = self.enter(now, catalog, out) else {
            return;
        };
        let (change, sends) = self.leases.tick(now, catalog, view);
        self.note_acquired(now, catalog, region, change.acquired, out);
        out.extend(sends.into_iter().map(|send| LimitsAction::Send {
            to: send.to,
            message: send.message,
        }));
        let held = self.leases.held();
        self.books.tick(now, catalog, region, held);
        let due = self.with_context(now, catalog, view, region, |desk, context| {
            desk.tick(context)
        });
        self.send_due(now, catalog, view, due, out);
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
        let Some(region) = self.enter(now, catalog, out) else {
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
                self.note_acquired(now, catalog, region, acquired, out);
            }
            LimitsMessage::LeaseRelease(release) => self.leases.on_release(from, &release),
            LimitsMessage::Draw(_) | LimitsMessage::Grant(_) => {
                self.deliver(now, catalog, view, from, message, out);
            }
        }
    }

    /// Draws the `missing_tokens` of a request that waits for them.
    pub fn want(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        view: &MembershipView,
        account: ClientAccountKey,
        missing_tokens: u64,
        out: &mut Vec<LimitsAction>,
    ) {
        let Some(region) = self.enter(now, catalog, out) else {
            return;
        };
        let due = self.with_context(now, catalog, view, region, |desk, context| {
            desk.want(context, account, missing_tokens)
        });
        self.send_due(now, catalog, view, due, out);
    }

    /// Drops everything that was granted to the VM before a pause.
    pub fn on_paused(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.leases.begin_incarnation(incarnation);
        self.books.clear();
        self.desk.clear();
    }

    /// Returns the pools, to publish them.
    pub fn pools(&self) -> TokenPools {
        self.desk.pools()
    }

    /// Returns the shards whose accounts this VM accrues.
    pub fn held_shards(&self) -> ShardSet {
        self.leases.held()
    }

    /// Returns the tokens of an account that can be granted, if this VM is its home.
    pub fn balance_tokens(&self, account: ClientAccountKey) -> Option<u64> {
        self.books.balance_tokens(account)
    }

    fn region(&self, catalog: &Catalog) -> Option<RegionKey> {
        Some(catalog.vms.get(self.own)?.region)
    }

    /// Drops leases that have run out, before anything relies on them.
    fn enter(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        out: &mut Vec<LimitsAction>,
    ) -> Option<RegionKey> {
        let region = self.region(catalog)?;
        let lost = self.leases.drop_lost(now);
        if !lost.is_empty() {
            self.books.close(catalog, lost);
            out.push(LimitsAction::LeaseLost { shards: lost });
        }
        Some(region)
    }

    fn note_acquired(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        region: RegionKey,
        acquired: ShardSet,
        out: &mut Vec<LimitsAction>,
    ) {
        if !acquired.is_empty() {
            self.books.open(now, catalog, region, acquired);
            out.push(LimitsAction::LeaseAcquired { shards: acquired });
        }
    }

    fn with_context<T>(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        view: &MembershipView,
        region: RegionKey,
        act: impl FnOnce(&mut DrawDesk, &DrawContext<'_>) -> T,
    ) -> T {
        let context = DrawContext {
            now,
            catalog,
            view,
            leases: &self.leases,
            settings: &self.settings,
            region,
        };
        act(&mut self.desk, &context)
    }

    fn send_due(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        view: &MembershipView,
        due: DueDraws,
        out: &mut Vec<LimitsAction>,
    ) {
        let mut queue = VecDeque::new();
        self.queue_due(due, &mut queue, out);
        self.flush(now, catalog, view, queue, out);
    }

    fn deliver(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        view: &MembershipView,
        from: VmKey,
        message: LimitsMessage,
        out: &mut Vec<LimitsAction>,
    ) {
        let mut queue = VecDeque::new();
        self.handle(now, catalog, view, from, message, &mut queue, out);
        self.flush(now, catalog, view, queue, out);
    }

    /// Sends what is queued; what goes to this VM itself is handled at once.
    fn flush(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        view: &MembershipView,
        mut queue: VecDeque<Outgoing>,
        out: &mut Vec<LimitsAction>,
    ) {
        while let Some(next) = queue.pop_front() {
            if next.to == self.own {
                let own = self.own;
                self.handle(now, catalog, view, own, next.message, &mut queue, out);
            } else {
                out.push(LimitsAction::Send {
                    to: next.to,
                    message: next.message,
                });
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn handle(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        view: &MembershipView,
        from: VmKey,
        message: LimitsMessage,
        queue: &mut VecDeque<Outgoing>,
        out: &mut Vec<LimitsAction>,
    ) {
        match message {
            LimitsMessage::Draw(draw) => self.take_draw(now, catalog, draw, queue),
            LimitsMessage::Grant(grant) => {
                self.take_grant(now, catalog, view, from, &grant, queue, out);
            }
            _ => {}
        }
    }

    /// Answers the parts of a draw whose home this VM is and passes the others on, once.
    fn take_draw(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        draw: Draw,
        queue: &mut VecDeque<Outgoing>,
    ) {
        let accounts = self
            .books
            .draw(now, catalog, &self.leases, &self.settings, &draw);
        if !accounts.is_empty() {
            queue.push_back(Outgoing {
                to: draw.holder,
                message: LimitsMessage::Grant(Grant {
                    incarnation: draw.incarnation,
                    accounts,
                }),
            });
        }
        if !draw.is_relayed {
            self.relay(now, catalog, draw, queue);
        }
    }

    fn relay(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        draw: Draw,
        queue: &mut VecDeque<Outgoing>,
    ) {
        let mut by_home: BTreeMap<VmKey, Vec<AccountDraw>> = BTreeMap::new();
        for part in draw.accounts {
            let Some(account) = catalog.client_accounts.get(part.account) else {
                continue;
            };
            let shard = Shard::of_account(&account.name);
            let home = self.leases.home(now, shard);
            if let Some(home) = home.filter(|home| *home != self.own) {
                by_home.entry(home).or_default().push(part);
            }
        }
        for (home, accounts) in by_home {
            queue.push_back(Outgoing {
                to: home,
                message: LimitsMessage::Draw(Draw {
                    holder: draw.holder,
                    incarnation: draw.incarnation,
                    is_relayed: true,
                    accounts,
                }),
            });
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn take_grant(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        view: &MembershipView,
        from: VmKey,
        grant: &Grant,
        queue: &mut VecDeque<Outgoing>,
        out: &mut Vec<LimitsAction>,
    ) {
        let Some(region) = catalog.vms.get(self.own).map(|vm| vm.region) else {
            return;
        };
        if grant.incarnation != self.incarnation {
            return;
        }
        for part in &grant.accounts {
            let (outcome, due) = self.with_context(now, catalog, view, region, |desk, context| {
                desk.take_grant(context, from, part)
            });
            if outcome == GrantOutcome::Arrived {
                out.push(LimitsAction::TokensArrived {
                    account: part.account,
                });
            }
            self.queue_due(due, queue, out);
        }
    }

    fn queue_due(
        &self,
        due: DueDraws,
        queue: &mut VecDeque<Outgoing>,
        out: &mut Vec<LimitsAction>,
    ) {
        for (to, accounts) in due.draws {
            queue.push_back(Outgoing {
                to,
                message: LimitsMessage::Draw(Draw {
                    holder: self.own,
                    incarnation: self.incarnation,
                    is_relayed: false,
                    accounts,
                }),
            });
        }
        for account in due.denied {
            out.push(LimitsAction::TokensDenied { account });
        }
    }
}
