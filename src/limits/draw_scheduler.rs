//! Schedules the draws of all accounts on one VM and keeps their token pools.

use std::collections::BTreeMap;
use std::sync::Arc;

use slotmap::SecondaryMap;

use super::account_draws::AccountDraws;
use super::draw_target::DrawTarget;
use super::draw_target::GrantOutcome;
use super::draw_target::OutgoingDraw;
use super::region_leases::RegionLeases;
use super::share::Share;
use super::AccountDraw;
use super::AccountGrant;
use super::DenialReason;
use super::LimitsSettings;
use super::Shard;
use super::TokenPool;
use super::TokenPools;
use crate::catalog::Catalog;
use crate::catalog::ClientAccountKey;
use crate::catalog::RegionKey;
use crate::catalog::VmKey;
use crate::clock::Monotonic;
use crate::membership::rank_vms;
use crate::membership::MembershipView;

/// Schedules the draws of all accounts on one VM and keeps their token pools.
#[derive(Debug, Default)]
pub struct DrawScheduler {
    pools: TokenPools,
    draws: SecondaryMap<ClientAccountKey, AccountDraws>,
    seen_tokens: SecondaryMap<ClientAccountKey, u64>,
    last_forgotten_number: u32,
    reported_at: Monotonic,
}

/// The state in which a VM picks the homes to draw from.
#[derive(Clone, Copy, Debug)]
pub struct DrawContext<'a> {
    /// The current time.
    pub now: Monotonic,
    /// The published objects.
    pub catalog: &'a Catalog,
    /// The view of other VMs.
    pub view: &'a MembershipView,
    /// The leases of the local region.
    pub leases: &'a RegionLeases,
    /// The settings.
    pub settings: &'a LimitsSettings,
    /// The local region.
    pub region: RegionKey,
}

/// An account whose waiting requests get no tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeniedDraw {
    /// The account.
    pub account: ClientAccountKey,
    /// The reason.
    pub reason: DenialReason,
}

/// The draws to send, by receiver, and the accounts whose waiting requests get no tokens.
#[derive(Debug, Default)]
pub struct DueDraws {
    /// The draws, by receiver.
    pub draws: BTreeMap<VmKey, Vec<AccountDraw>>,
    /// The accounts whose waiting requests get no tokens.
    pub denied: Vec<DeniedDraw>,
}

impl DueDraws {
    fn extend(&mut self, outgoing: Vec<OutgoingDraw>) {
        for draw in outgoing {
            self.draws.entry(draw.to).or_default().push(draw.draw);
        }
    }
}

impl DrawScheduler {
    /// Returns a snapshot of the token pools.
    pub fn pools(&self) -> TokenPools {
        self.pools.clone()
    }

    /// Keeps one pool for each published account and returns whether one was added or removed.
    pub fn sync_pools(&mut self, catalog: &Catalog) -> bool {
        let pools = &mut self.pools.pools;
        let old_len = pools.len();
        pools.retain(|account, _| catalog.client_accounts.contains_key(account));
        let mut is_changed = pools.len() != old_len;
        for account in catalog.client_accounts.keys() {
            if !pools.contains_key(account) {
                pools.insert(account, Arc::new(TokenPool::default()));
                is_changed = true;
            }
        }
        if is_changed {
            self.draws
                .retain(|account, _| catalog.client_accounts.contains_key(account));
        }
        is_changed
    }

    /// Drops all draws and grants.
    pub fn clear(&mut self) {
        self.draws.clear();
        for pool in self.pools.pools.values() {
            pool.put_grants(Vec::new());
        }
    }

    /// Maintains the draws of all accounts and returns the draws and reports that are due.
    pub fn tick(&mut self, context: &DrawContext<'_>) -> DueDraws {
        self.track_active_accounts(context.now);
        let is_round = context.now.since(self.reported_at) >= context.settings.draw_period;
        if is_round {
            self.reported_at = context.now;
        }
        let mut due = DueDraws::default();
        for (account, draws) in &mut self.draws {
            let published = context.catalog.client_accounts.get(account);
            draws.put_burst(published.map_or(0, |published| published.burst_tokens));
            draws.maintain(context.now, context.settings);
            collect_due(context, account, draws, &mut due);
            due.extend(draws.due_reports(context.now, is_round));
        }
        self.forget_idle();
        due
    }

    /// Adds the need of one more waiting request and returns the draws that are due.
    pub fn request_tokens(
        &mut self,
        context: &DrawContext<'_>,
        account: ClientAccountKey,
        missing_tokens: u64,
    ) -> DueDraws {
        let mut due = DueDraws::default();
        if let Some(draws) = self.draws_mut(context.now, account) {
            draws.add_need(missing_tokens);
            collect_due(context, account, draws, &mut due);
        }
        due
    }

    /// Handles a grant and returns its outcome and the draws that follow from it.
    pub fn on_grant(
        &mut self,
        context: &DrawContext<'_>,
        from: VmKey,
        grant: &AccountGrant,
    ) -> (GrantOutcome, DueDraws) {
        let mut due = DueDraws::default();
        let Some(draws) = self.draws_mut(context.now, grant.account) else {
            return (GrantOutcome::Stale, due);
        };
        let outcome = draws.on_grant(context.now, from, grant);
        collect_due(context, grant.account, draws, &mut due);
        (outcome, due)
    }

    /// Forgets idle accounts; the numbers of later draws continue, since a home answers a number
    /// once.
    fn forget_idle(&mut self) {
        let last_number = &mut self.last_forgotten_number;
        self.draws.retain(|_, draws| {
            let is_idle = draws.is_idle();
            if is_idle {
                *last_number = draws.last_number().max(*last_number);
            }
            !is_idle
        });
    }

    /// Starts to track the draws of accounts that requests have begun to use.
    fn track_active_accounts(&mut self, now: Monotonic) {
        let mut active = Vec::new();
        for (account, pool) in &self.pools.pools {
            let reserved_tokens = pool.reserved_tokens();
            let seen_tokens = self.seen_tokens.insert(account, reserved_tokens);
            if seen_tokens.unwrap_or(0) != reserved_tokens {
                active.push(account);
            }
        }
        for account in active {
            self.draws_mut(now, account);
        }
    }

    fn draws_mut(
        &mut self,
        now: Monotonic,
        account: ClientAccountKey,
    ) -> Option<&mut AccountDraws> {
        let pool = self.pools.get(account)?;
        if !self.draws.contains_key(account) {
            let draws =
                AccountDraws::new(now, account, Arc::clone(pool), self.last_forgotten_number);
            self.draws.insert(account, draws);
        }
        self.draws.get_mut(account)
    }
}

fn collect_due(
    context: &DrawContext<'_>,
    account: ClientAccountKey,
    draws: &mut AccountDraws,
    due: &mut DueDraws,
) {
    if !draws.may_draw(context.now, context.settings) {
        return;
    }
    let targets = targets(context, account, draws);
    let is_first_local = targets
        .first()
        .is_some_and(|target| target.region == context.region);
    due.extend(draws.due(context.now, &targets, is_first_local, context.settings));
    if let Some(reason) = draws.deny_need(context.now, &targets) {
        due.denied.push(DeniedDraw { account, reason });
    }
}

/// Returns the receivers of an account's draws: for the local region first, then for the remote
/// regions by distance.
fn targets(
    context: &DrawContext<'_>,
    account: ClientAccountKey,
    draws: &AccountDraws,
) -> Vec<DrawTarget> {
    let Some(published) = context.catalog.client_accounts.get(account) else {
        return Vec::new();
    };
    let shard = Shard::of_account(&published.name);
    let mut regions = Share::regions(published);
    regions.sort_by_key(|region| distance_us(context, *region));
    regions
        .into_iter()
        .filter_map(|region| {
            let vm = if region == context.region {
                context.leases.home(context.now, shard)?
            } else {
                draws
                    .known_home(region)
                    .or_else(|| first_ranked(context, region, shard))?
            };
            Some(DrawTarget { region, vm })
        })
        .collect()
}

fn distance_us(context: &DrawContext<'_>, region: RegionKey) -> u64 {
    if region == context.region {
        return 0;
    }
    context
        .catalog
        .link(context.region, region)
        .map_or(u64::MAX, |link| link.one_way_us)
}

fn first_ranked(context: &DrawContext<'_>, region: RegionKey, shard: Shard) -> Option<VmKey> {
    let serving = context.view.serving_in(context.catalog, region);
    let ranked = rank_vms(context.catalog, shard.rendezvous_key(), serving);
    ranked.first().copied()
}
