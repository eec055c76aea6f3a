//! The leases of one VM.

use std::collections::VecDeque;
use std::time::Duration;

use slotmap::SecondaryMap;

use super::LeaseAnswer;
use super::LeaseRequest;
use super::Shard;
use super::ShardSet;
use super::SHARD_COUNT;
use crate::catalog::VmKey;
use crate::clock::Monotonic;
use crate::membership::Incarnation;
use crate::membership::Roster;

/// The number of latest requests whose answers still count.
const SENT_LEN: usize = 8;

type VoteEnds = [Monotonic; SHARD_COUNT as usize];

/// The leases of one VM.
///
/// A lease is held while a majority of the region's roster has voted for this incarnation. The
/// holder times each vote from when its request was sent, the voter from when the request arrived,
/// which is later: a vote still binds the voter when it expires at the holder. Two majorities of
/// one roster share a voter, and so do majorities of two rosters of which one has a single VM more:
/// no two VMs hold a lease at the same time as long as the rosters in use differ by no more than
/// that.
#[derive(Debug)]
pub struct LeaseHolder {
    lease: Duration,
    incarnation: Incarnation,
    sequence: u32,
    sent: VecDeque<SentRequest>,
    votes: SecondaryMap<VmKey, VoteEnds>,
    released_through: [u32; SHARD_COUNT as usize],
    lease_ends: VoteEnds,
    held: ShardSet,
}

#[derive(Clone, Copy, Debug)]
struct SentRequest {
    sequence: u32,
    sent_at: Monotonic,
}

impl LeaseHolder {
    /// Creates the state of an incarnation that holds no lease yet; a vote counts for `lease`.
    pub fn new(incarnation: Incarnation, lease: Duration) -> Self {
        Self {
            lease,
            incarnation,
            sequence: 0,
            sent: VecDeque::new(),
            votes: SecondaryMap::new(),
            released_through: [0; SHARD_COUNT as usize],
            lease_ends: [Monotonic::ZERO; SHARD_COUNT as usize],
            held: ShardSet::default(),
        }
    }

    /// Returns the shards that are held.
    pub fn held(&self) -> ShardSet {
        self.held
    }

    /// Returns the number of the last request.
    pub fn sequence(&self) -> u32 {
        self.sequence
    }

    /// Creates the next request and records when it was sent.
    pub fn next_request(
        &mut self,
        now: Monotonic,
        roster: &Roster,
        shards: ShardSet,
    ) -> LeaseRequest {
        self.sequence += 1;
        self.sent.push_back(SentRequest {
            sequence: self.sequence,
            sent_at: now,
        });
        if self.sent.len() > SENT_LEN {
            self.sent.pop_front();
        }
        LeaseRequest {
            incarnation: self.incarnation,
            sequence: self.sequence,
            roster_hash: roster.hash,
            shards,
            held: self.held,
        }
    }

    /// Counts the votes of an answer.
    pub fn on_answer(&mut self, roster: &Roster, from: VmKey, answer: &LeaseAnswer) {
        if answer.incarnation != self.incarnation {
            return;
        }
        let sent = self
            .sent
            .iter()
            .find(|sent| sent.sequence == answer.sequence);
        let Some(sent) = sent.copied() else {
            return;
        };
        let until = sent.sent_at + self.lease;
        let Some(entry) = self.votes.entry(from) else {
            return;
        };
        let ends = entry.or_insert([Monotonic::ZERO; SHARD_COUNT as usize]);
        for shard in answer.shards.iter() {
            if answer.sequence > self.released_through[shard.index()] {
                ends[shard.index()] = ends[shard.index()].max(until);
            }
        }
        self.count_votes(roster, answer.shards);
    }

    /// Recounts all votes after a change of the roster.
    pub fn count_all_votes(&mut self, roster: &Roster) {
        self.count_votes(roster, Shard::all().collect());
    }

    /// Discards all votes for `shards`, including those still in flight.
    pub fn release(&mut self, shards: ShardSet) {
        for shard in shards.iter() {
            self.released_through[shard.index()] = self.sequence;
            for ends in self.votes.values_mut() {
                ends[shard.index()] = Monotonic::ZERO;
            }
            self.lease_ends[shard.index()] = Monotonic::ZERO;
        }
    }

    /// Returns the time up to which a majority of the roster has voted for this VM.
    pub fn lease_end(&self, shard: Shard) -> Monotonic {
        self.lease_ends[shard.index()]
    }

    /// Drops the expired leases and returns them.
    pub fn drop_lost(&mut self, now: Monotonic) -> ShardSet {
        let lost: ShardSet = self
            .held
            .iter()
            .filter(|shard| now >= self.lease_end(*shard))
            .collect();
        self.held = self.held.without(lost);
        lost
    }

    /// Adds the leases that now have a majority and returns them.
    pub fn add_acquired(&mut self, now: Monotonic) -> ShardSet {
        let acquired: ShardSet = Shard::all()
            .filter(|shard| !self.held.contains(*shard))
            .filter(|shard| now < self.lease_end(*shard))
            .collect();
        self.held = ShardSet(self.held.0 | acquired.0);
        acquired
    }

    fn count_votes(&mut self, roster: &Roster, shards: ShardSet) {
        for shard in shards.iter() {
            let mut ends: Vec<Monotonic> = roster
                .vms
                .iter()
                .filter_map(|vm| self.votes.get(*vm))
                .map(|ends| ends[shard.index()])
                .collect();
            ends.sort_by_key(|end| std::cmp::Reverse(*end));
            let last_needed = roster.majority() - 1;
            let end = ends.get(last_needed).copied();
            self.lease_ends[shard.index()] = end.unwrap_or(Monotonic::ZERO);
        }
    }
}
