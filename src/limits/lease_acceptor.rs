//! The votes of one VM on which VM holds the lease of each shard.

use std::time::Duration;

use super::LeaseAnswer;
use super::LeaseRelease;
use super::LeaseRequest;
use super::Shard;
use super::ShardSet;
use super::SHARD_COUNT;
use crate::catalog::VmKey;
use crate::clock::Monotonic;
use crate::membership::Incarnation;
use crate::membership::Roster;

/// The votes of one VM on which VM holds the lease of each shard.
///
/// The vote for a shard belongs to one incarnation of one VM until it expires by the clock of the
/// voter. A voter that starts may have forgotten a vote, so it gives none until all earlier ones
/// must have expired. After PaxosLease (Trencseni, Gazso and Reinhardt, 2012), without its prepare
/// phase.
#[derive(Debug)]
pub struct LeaseAcceptor {
    lease: Duration,
    ready_at: Monotonic,
    votes: [Option<Vote>; SHARD_COUNT as usize],
    homes: [Option<AnnouncedHome>; SHARD_COUNT as usize],
}

#[derive(Clone, Copy, Debug)]
struct Vote {
    vm: VmKey,
    incarnation: Incarnation,
    sequence: u32,
    until: Monotonic,
}

#[derive(Clone, Copy, Debug)]
struct AnnouncedHome {
    vm: VmKey,
    until: Monotonic,
}

/// The rosters with which a lease request must agree.
#[derive(Clone, Copy, Debug)]
pub struct KnownRosters<'a> {
    /// The current roster; any request may be made with it.
    pub current: &'a Roster,
    /// The hash of the previous roster, with which a vote can only be renewed.
    pub previous_hash: Option<u64>,
}

impl LeaseAcceptor {
    /// Creates the acceptor of a process that starts at `now`.
    pub fn new(now: Monotonic, lease: Duration, clock_slack: Duration) -> Self {
        Self {
            lease,
            ready_at: now + lease + clock_slack,
            votes: [None; SHARD_COUNT as usize],
            homes: [None; SHARD_COUNT as usize],
        }
    }

    /// Returns the time before which no vote is given.
    pub fn ready_at(&self) -> Monotonic {
        self.ready_at
    }

    /// Answers a request with the shards for which this voter votes for the sender, for one lease.
    pub fn on_request(
        &mut self,
        now: Monotonic,
        from: VmKey,
        request: &LeaseRequest,
        rosters: KnownRosters<'_>,
    ) -> LeaseAnswer {
        self.record_homes(now, from, request.held);
        let shards = request
            .shards
            .iter()
            .filter(|shard| self.vote(now, from, request, *shard, rosters))
            .collect();
        LeaseAnswer {
            incarnation: request.incarnation,
            sequence: request.sequence,
            shards,
        }
    }

    /// Forgets votes that found no majority, unless a later request renewed them.
    pub fn on_release(&mut self, from: VmKey, release: &LeaseRelease) {
        for shard in release.shards.iter() {
            let vote = &mut self.votes[shard.index()];
            let is_released = vote.is_some_and(|vote| {
                vote.vm == from
                    && vote.incarnation == release.incarnation
                    && vote.sequence <= release.sequence
            });
            if is_released {
                *vote = None;
            }
        }
    }

    /// Returns whether the vote for a shard is free.
    pub fn is_free(&self, now: Monotonic, shard: Shard) -> bool {
        self.live_vote(now, shard).is_none()
    }

    /// Returns the VM that last announced that it holds the lease of a shard.
    pub fn home(&self, now: Monotonic, shard: Shard) -> Option<VmKey> {
        self.homes[shard.index()]
            .filter(|home| now < home.until)
            .map(|home| home.vm)
    }

    fn live_vote(&self, now: Monotonic, shard: Shard) -> Option<Vote> {
        self.votes[shard.index()].filter(|vote| now < vote.until)
    }

    fn record_homes(&mut self, now: Monotonic, vm: VmKey, held: ShardSet) {
        for shard in Shard::all() {
            let home = &mut self.homes[shard.index()];
            if held.contains(shard) {
                let until = now + self.lease;
                *home = Some(AnnouncedHome { vm, until });
            } else if home.is_some_and(|home| home.vm == vm) {
                *home = None;
            }
        }
    }

    fn vote(
        &mut self,
        now: Monotonic,
        from: VmKey,
        request: &LeaseRequest,
        shard: Shard,
        rosters: KnownRosters<'_>,
    ) -> bool {
        if now < self.ready_at || !rosters.current.vms.contains(&from) {
            return false;
        }
        let is_current = request.roster_hash == rosters.current.hash;
        let is_previous = Some(request.roster_hash) == rosters.previous_hash;
        let is_granted = match self.live_vote(now, shard) {
            None => is_current,
            Some(vote) => is_renewal(&vote, from, request) && (is_current || is_previous),
        };
        if is_granted {
            self.votes[shard.index()] = Some(Vote {
                vm: from,
                incarnation: request.incarnation,
                sequence: request.sequence,
                until: now + self.lease,
            });
        }
        is_granted
    }
}

fn is_renewal(vote: &Vote, from: VmKey, request: &LeaseRequest) -> bool {
    vote.vm == from && vote.incarnation == request.incarnation && vote.sequence <= request.sequence
}
