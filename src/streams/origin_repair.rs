//! Tells VMs that started, or that take the place of others, of the streams that they are to remember.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use super::OriginState;
use super::StreamKey;
use super::StreamOrigin;
use super::StreamOrigins;
use crate::fleet::FleetMembers;
use crate::fleet::MemberChanges;
use crate::fleet::StreamReplicas;

/// The largest number of streams whose replicas are looked up in a round of gossip.
const STREAMS_PER_ROUND: usize = 500;

/// The largest number of datagrams in a round of gossip.
const DATAGRAMS_PER_ROUND: usize = 40;

/// The largest number of streams that one VM is told of in a round of gossip.
const STREAMS_PER_DATAGRAM: usize = 60;

/// Tells VMs that started, or that take the place of others, of the streams that they are to remember.
///
/// Each VM that remembers a stream tells its new replicas. The changes of the fleet during one pass over the streams
/// are the reason of the next one.
#[derive(Debug, Default)]
pub struct OriginRepair {
    members: FleetMembers,
    changes: MemberChanges,
    /// The streams that are left in the present pass; the last one is next.
    streams: Vec<StreamKey>,
    outbox: BTreeMap<Ipv4Addr, Vec<StreamOrigin>>,
}

impl OriginRepair {
    /// Starts a pass over streams if the fleet has changed since the last one, and that one is over.
    ///
    /// The last stream is the first one to be told of.
    pub fn start_if_changed(
        &mut self,
        members: FleetMembers,
        streams: impl FnOnce() -> Vec<StreamKey>,
    ) {
        if !self.is_idle() {
            return;
        }
        self.changes = members.changes_since(&self.members);
        self.members = members;
        if !self.changes.is_empty() {
            self.streams = streams();
        }
    }

    /// Returns whether no pass is going on.
    pub fn is_idle(&self) -> bool {
        self.streams.is_empty() && self.outbox.is_empty()
    }

    /// Returns what to tell in a round of gossip, if there are `count` replicas of each stream.
    pub fn next_round(
        &mut self,
        replicas: &StreamReplicas,
        origins: &StreamOrigins,
        count: usize,
    ) -> Vec<(Ipv4Addr, StreamOrigin)> {
        let before = replicas.before(&self.changes);
        let first = self.streams.len().saturating_sub(STREAMS_PER_ROUND);
        for stream in self.streams.split_off(first).into_iter().rev() {
            let OriginState::Known(version) = origins.get(stream) else {
                continue;
            };
            let origin = StreamOrigin { stream, version };
            let told_before = before.told(stream, count);
            let told = replicas.told(stream, count).into_iter();
            for vm in told.filter(|vm| !told_before.contains(vm)) {
                self.outbox.entry(vm).or_default().push(origin);
            }
        }
        self.take_round()
    }

    fn take_round(&mut self) -> Vec<(Ipv4Addr, StreamOrigin)> {
        let mut taken = Vec::new();
        for _ in 0..DATAGRAMS_PER_ROUND {
            let Some((vm, mut streams)) = self.outbox.pop_first() else {
                break;
            };
            let rest = streams.split_off(streams.len().min(STREAMS_PER_DATAGRAM));
            taken.extend(streams.into_iter().map(|origin| (vm, origin)));
            if !rest.is_empty() {
                self.outbox.insert(vm, rest);
            }
        }
        taken
    }
}
