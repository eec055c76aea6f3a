//! A submission that waits for acknowledgements.

use super::AttemptId;
use super::Fingerprint;
use super::RecordId;
use crate::catalog::VmKey;
use crate::clock::Monotonic;
use crate::request::RequestId;

/// A submission that waits for acknowledgements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PendingSubmission {
    pub(super) request: RequestId,
    pub(super) id: RecordId,
    pub(super) fingerprint: Fingerprint,
    pub(super) attempt: AttemptId,
    /// The replicas under each published state that is in effect, each set once.
    pub(super) replica_sets: Vec<Vec<VmKey>>,
    /// The VMs that store the record and vote for the submission, the coordinator among them.
    pub(super) acknowledged: Vec<VmKey>,
    pub(super) replied: Vec<VmKey>,
    /// From then on, a majority suffices even if a live replica has not replied.
    pub(super) majority_at: Monotonic,
    pub(super) deadline: Monotonic,
}

/// The fewest VMs that must store a record, whatever the number of replicas.
const COPIES_MIN: usize = 2;

impl PendingSubmission {
    /// Records the reply of a VM.
    pub(super) fn record_reply(&mut self, vm: VmKey, is_acknowledged: bool) {
        if !self.replied.contains(&vm) {
            self.replied.push(vm);
        }
        if is_acknowledged && !self.acknowledged.contains(&vm) {
            self.acknowledged.push(vm);
        }
    }

    /// Returns whether a majority of each replica set acknowledged the record, and two VMs in all.
    pub(super) fn is_acknowledged(&self) -> bool {
        let has_majorities = self.replica_sets.iter().all(|set| {
            let votes = set
                .iter()
                .filter(|vm| self.acknowledged.contains(vm))
                .count();
            votes > set.len() / 2
        });
        has_majorities && self.acknowledged.len() >= COPIES_MIN
    }

    /// Returns the replicas, each once.
    pub(super) fn replicas(&self) -> Vec<VmKey> {
        let mut replicas: Vec<VmKey> = self.replica_sets.iter().flatten().copied().collect();
        replicas.sort_unstable();
        replicas.dedup();
        replicas
    }

    /// Returns whether each replica for which `is_alive` holds has replied.
    pub(super) fn has_replies_from(&self, is_alive: impl Fn(VmKey) -> bool) -> bool {
        self.replicas()
            .into_iter()
            .filter(|vm| is_alive(*vm))
            .all(|vm| self.replied.contains(&vm))
    }
}
