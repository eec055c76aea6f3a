//! The initial read of the records of other VMs.

use std::collections::BTreeMap;

use super::IdempotencySettings;
use super::RecordId;
use crate::catalog::VmKey;
use crate::clock::Monotonic;

/// The progress of reading the records of one VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct SyncProgress {
    after: Option<RecordId>,
    asked_at: Option<Monotonic>,
    is_done: bool,
}

/// Reads the records of the other VMs of the region after a start; the VM has no vote before.
#[derive(Clone, Debug)]
pub(super) struct InitialSync {
    started_at: Monotonic,
    progress: BTreeMap<VmKey, SyncProgress>,
    is_synced: bool,
}

impl InitialSync {
    pub(super) fn new(now: Monotonic) -> Self {
        Self {
            started_at: now,
            progress: BTreeMap::new(),
            is_synced: false,
        }
    }

    /// Returns whether the records were read, so that the VM has a vote.
    pub(super) fn is_synced(&self) -> bool {
        self.is_synced
    }

    /// Returns the VMs to send a request now, each with the last record read from it.
    pub(super) fn take_due(
        &mut self,
        now: Monotonic,
        settings: &IdempotencySettings,
        others: &[VmKey],
    ) -> Vec<(VmKey, Option<RecordId>)> {
        self.update(now, settings, others);
        if self.is_synced {
            return Vec::new();
        }
        let mut asked = Vec::new();
        for vm in others {
            let entry = self.progress.entry(*vm).or_default();
            let is_due = entry
                .asked_at
                .is_none_or(|asked_at| now.since(asked_at) >= settings.sync_interval);
            if !entry.is_done && is_due {
                entry.asked_at = Some(now);
                asked.push((*vm, entry.after.clone()));
            }
        }
        asked
    }

    /// Records the receipt of a page; returns whether to request the next one at once.
    pub(super) fn on_page(
        &mut self,
        now: Monotonic,
        from: VmKey,
        after: &Option<RecordId>,
        next: Option<RecordId>,
    ) -> bool {
        let Some(entry) = self.progress.get_mut(&from) else {
            return false;
        };
        if entry.is_done || entry.after != *after {
            return false;
        }
        entry.is_done = next.is_none();
        entry.after = next;
        entry.asked_at = Some(now);
        !entry.is_done
    }

    /// Recomputes whether the VM has a vote: with the records of all other VMs, or after the timeout
    /// with those of a majority, itself included.
    pub(super) fn update(
        &mut self,
        now: Monotonic,
        settings: &IdempotencySettings,
        others: &[VmKey],
    ) {
        if self.is_synced {
            return;
        }
        let done = others
            .iter()
            .filter(|vm| self.progress.get(vm).is_some_and(|entry| entry.is_done))
            .count();
        let has_majority = (done + 1) * 2 > others.len() + 1;
        let is_late = now.since(self.started_at) >= settings.full_sync_timeout;
        self.is_synced = done == others.len() || (is_late && has_majority);
    }
}
