//! A submission that waits for acknowledgements.

use super::AttemptId;
use super::Fingerprint;
use super::RecordId;
use crate::catalog::VmKey;
use crate::clock::Monotonic;
use crate::request::RequestId;

/// A submission that waits for acknowledgements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Pending {
    pub(super) request: RequestId,
    pub(super) id: RecordId,
    pub(super) fingerprint: Fingerprint,
    pub(super) attempt: AttemptId,
    /// The replicas, once for each published state that counts.
    pub(super) replica_sets: Vec<Vec<VmKey>>,
    pub(super) acknowledged: Vec<VmKey>,
    pub(super) answered: Vec<VmKey>,
    /// From then on, a majority suffices even if a live replica has not answered.
    pub(super) majority_at: Monotonic,
    pub(super) give_up_at: Monotonic,
}

/// The fewest copies of a record, whatever the number of replicas.
const COPIES_MIN: usize = 2;

impl Pending {
    /// Notes the answer of a VM.
    pub(super) fn note(&mut self, vm: VmKey, is_acknowledged: bool) {
        if !self.answered.contains(&vm) {
            self.answered.push(vm);
        }
        if is_acknowledged && !self.acknowledged.contains(&vm) {
            self.acknowledged.push(vm);
        }
    }

    /// Tells whether a majority of each replica set keeps the record, and two VMs in all.
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

    /// Tells whether each replica for which `is_alive` holds has answered.
    pub(super) fn is_answered_by(&self, is_alive: impl Fn(VmKey) -> bool) -> bool {
        self.replicas()
            .into_iter()
            .filter(|vm| is_alive(*vm))
            .all(|vm| self.answered.contains(&vm))
    }
}
