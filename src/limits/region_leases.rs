//! The leases of all shards in the region of one VM, as their holder and as a voter.

use std::time::Duration;

use super::lease_acceptor::KnownRosters;
use super::lease_acceptor::LeaseAcceptor;
use super::lease_holder::LeaseHolder;
use super::LeaseAnswer;
use super::LeaseRelease;
use super::LeaseRequest;
use super::LimitsMessage;
use super::LimitsSettings;
use super::Shard;
use super::ShardSet;
use super::SHARD_COUNT;
use crate::catalog::Catalog;
use crate::catalog::RegionKey;
use crate::catalog::VmKey;
use crate::clock::Monotonic;
use crate::membership::rank_vms;
use crate::membership::rendezvous_score;
use crate::membership::Incarnation;
use crate::membership::MembershipView;
use crate::membership::Roster;

/// The time after which a request for a new lease without a majority counts as a split vote.
const VOTE_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of vote timeouts over which the retries after a split vote are spread.
const RETRY_SPREAD: u64 = 4;

/// The leases of all shards in the region of one VM, as their holder and as a voter.
///
/// A VM requests the free shards for which it ranks first among the serving VMs of its region. It
/// renews the leases that it holds until it leaves, is paused or loses its majority.
#[derive(Debug)]
pub struct RegionLeases {
    local_vm: VmKey,
    renewal: Duration,
    roster_settle: Duration,
    lease: Duration,
    acceptor: LeaseAcceptor,
    holder: LeaseHolder,
    incarnation: Incarnation,
    roster: Roster,
    previous_roster_hash: Option<u64>,
    roster_changed_at: Monotonic,
    renew_at: Monotonic,
    requested: ShardSet,
    votes_due_at: Monotonic,
    retry_at: [Monotonic; SHARD_COUNT as usize],
}

/// The leases that a VM lost and acquired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseChange {
    /// The shards whose leases it holds no longer.
    pub lost: ShardSet,
    /// The shards whose leases it holds from now on.
    pub acquired: ShardSet,
}

/// A message to another VM of the region.
#[derive(Clone, Debug)]
pub struct LeaseSend {
    /// The receiver.
    pub to: VmKey,
    /// The message.
    pub message: LimitsMessage,
}

impl RegionLeases {
    /// Creates the leases of a process that starts at `now`.
    pub fn new(
        settings: &LimitsSettings,
        local_vm: VmKey,
        incarnation: Incarnation,
        now: Monotonic,
    ) -> Self {
        let lease = settings.lease.saturating_sub(settings.clock_slack);
        Self {
            local_vm,
            renewal: settings.lease_renewal,
            roster_settle: settings.roster_settle,
            lease,
            acceptor: LeaseAcceptor::new(now, settings.lease, settings.clock_slack),
            holder: LeaseHolder::new(incarnation, lease),
            incarnation,
            roster: Roster::default(),
            previous_roster_hash: None,
            roster_changed_at: now,
            renew_at: now,
            requested: ShardSet::default(),
            votes_due_at: now,
            retry_at: [now; SHARD_COUNT as usize],
        }
    }

    /// Begins a new incarnation, with no leases. Votes already given stay valid.
    pub fn begin_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.holder = LeaseHolder::new(incarnation, self.lease);
        self.requested = ShardSet::default();
    }

    /// Returns the local VM.
    pub fn local_vm(&self) -> VmKey {
        self.local_vm
    }

    /// Returns the shards whose leases this VM holds.
    pub fn held(&self) -> ShardSet {
        self.holder.held()
    }

    /// Returns when the lease of this VM on `shard` ends.
    pub fn lease_end(&self, shard: Shard) -> Monotonic {
        self.holder.lease_end(shard)
    }

    /// Returns the VM of the region that is known to hold the lease of `shard`.
    pub fn home(&self, now: Monotonic, shard: Shard) -> Option<VmKey> {
        if self.holder.held().contains(shard) {
            return Some(self.local_vm);
        }
        self.acceptor.home(now, shard)
    }

    /// Applies the current roster of the region.
    pub fn put_roster(&mut self, now: Monotonic, catalog: &Catalog, region: RegionKey) {
        let roster = Roster::of_region(catalog, region);
        if roster == self.roster {
            return;
        }
        let is_first = self.roster.vms.is_empty();
        self.previous_roster_hash = (!is_first).then_some(self.roster.hash);
        self.roster_changed_at = now;
        self.roster = roster;
        self.holder.count_all_votes(&self.roster);
    }

    /// Drops the expired leases; called before anything that relies on a lease.
    pub fn drop_lost(&mut self, now: Monotonic) -> ShardSet {
        self.holder.drop_lost(now)
    }

    /// Renews leases, requests free shards, and returns the messages to send.
    pub fn tick(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        view: &MembershipView,
    ) -> (LeaseChange, Vec<LeaseSend>) {
        let mut sends = Vec::new();
        if now >= self.votes_due_at {
            self.release_split_votes(now, catalog, &mut sends);
        }
        let requestable = self.requestable(now, catalog, view);
        let renewable = self.renewable(view);
        let has_new = !requestable.is_empty();
        let is_renewal_due = now >= self.renew_at && !renewable.is_empty();
        if !has_new && !is_renewal_due {
            return (LeaseChange::default(), sends);
        }
        self.renew_at = now + self.renewal;
        if has_new {
            self.requested = requestable;
            self.votes_due_at = now + VOTE_TIMEOUT;
        }
        let shards = ShardSet(renewable.0 | requestable.0);
        let acquired = self.send_request(now, shards, &mut sends);
        let change = LeaseChange {
            lost: ShardSet::default(),
            acquired,
        };
        (change, sends)
    }

    /// Votes on a request of another VM.
    pub fn on_request(
        &mut self,
        now: Monotonic,
        from: VmKey,
        request: &LeaseRequest,
    ) -> LeaseAnswer {
        let rosters = KnownRosters {
            current: &self.roster,
            previous_hash: self.previous_roster_hash,
        };
        self.acceptor.on_request(now, from, request, rosters)
    }

    /// Counts the votes of another VM and returns the shards whose leases are held from now on.
    pub fn on_answer(&mut self, now: Monotonic, from: VmKey, answer: &LeaseAnswer) -> ShardSet {
        self.holder.on_answer(&self.roster, from, answer);
        self.holder.add_acquired(now)
    }

    /// Forgets votes that another VM releases.
    pub fn on_release(&mut self, from: VmKey, release: &LeaseRelease) {
        self.acceptor.on_release(from, release);
    }

    fn send_request(
        &mut self,
        now: Monotonic,
        shards: ShardSet,
        sends: &mut Vec<LeaseSend>,
    ) -> ShardSet {
        let request = self.holder.next_request(now, &self.roster, shards);
        self.broadcast(LimitsMessage::LeaseRequest(request), sends);
        let local_vote = self.on_request(now, self.local_vm, &request);
        self.on_answer(now, self.local_vm, &local_vote)
    }

    fn broadcast(&self, message: LimitsMessage, sends: &mut Vec<LeaseSend>) {
        let others = self.roster.vms.iter().filter(|vm| **vm != self.local_vm);
        sends.extend(others.map(|vm| LeaseSend {
            to: *vm,
            message: message.clone(),
        }));
    }

    fn release_split_votes(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        sends: &mut Vec<LeaseSend>,
    ) {
        let failed = self.requested.without(self.holder.held());
        self.requested = ShardSet::default();
        if failed.is_empty() {
            return;
        }
        self.holder.release(failed);
        let release = LeaseRelease {
            incarnation: self.incarnation,
            sequence: self.holder.sequence(),
            shards: failed,
        };
        self.acceptor.on_release(self.local_vm, &release);
        self.broadcast(LimitsMessage::LeaseRelease(release), sends);
        for shard in failed.iter() {
            self.retry_at[shard.index()] = now + self.retry_delay(catalog, shard);
        }
    }

    /// Returns a delay that differs between VMs, so that their next requests don't split the vote
    /// again.
    fn retry_delay(&self, catalog: &Catalog, shard: Shard) -> Duration {
        let round = shard.rendezvous_key() ^ u64::from(self.holder.sequence());
        let score = catalog
            .vms
            .get(self.local_vm)
            .map_or(0, |vm| rendezvous_score(round, &vm.name));
        let steps = 1 + score % RETRY_SPREAD;
        VOTE_TIMEOUT * u32::try_from(steps).unwrap_or(1)
    }

    fn renewable(&self, view: &MembershipView) -> ShardSet {
        let is_leaving = view
            .vms
            .get(self.local_vm)
            .is_some_and(|local_vm| local_vm.is_leaving);
        if is_leaving {
            return ShardSet::default();
        }
        self.holder.held()
    }

    fn requestable(&self, now: Monotonic, catalog: &Catalog, view: &MembershipView) -> ShardSet {
        let is_settled = now.since(self.roster_changed_at) >= self.roster_settle
            || self.previous_roster_hash.is_none();
        let is_voting = !self.requested.is_empty();
        if now < self.acceptor.ready_at() || !is_settled || is_voting {
            return ShardSet::default();
        }
        let serving: Vec<VmKey> = self
            .roster
            .vms
            .iter()
            .filter(|vm| view.vms.get(**vm).is_some_and(|seen| seen.is_serving()))
            .copied()
            .collect();
        Shard::all()
            .filter(|shard| self.acceptor.is_free(now, *shard))
            .filter(|shard| now >= self.retry_at[shard.index()])
            .filter(|shard| self.ranks_first(catalog, &serving, *shard))
            .collect()
    }

    fn ranks_first(&self, catalog: &Catalog, serving: &[VmKey], shard: Shard) -> bool {
        let ranked = rank_vms(catalog, shard.rendezvous_key(), serving.iter().copied());
        ranked.first() == Some(&self.local_vm)
    }
}
