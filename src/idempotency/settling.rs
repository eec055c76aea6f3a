//! How a VM that starts reads the records of the others.

use std::collections::BTreeMap;

use super::IdempotencySettings;
use super::RecordId;
use crate::catalog::VmKey;
use crate::clock::Monotonic;

/// How far the records of one VM were read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Reading {
    after: Option<RecordId>,
    asked_at: Option<Monotonic>,
    is_done: bool,
}

/// How a VM that starts reads the records of the others.
#[derive(Clone, Debug)]
pub(super) struct Settling {
    started_at: Monotonic,
    readings: BTreeMap<VmKey, Reading>,
    is_synced: bool,
}

impl Settling {
    pub(super) fn new(now: Monotonic) -> Self {
        Self {
            started_at: now,
            readings: BTreeMap::new(),
            is_synced: false,
        }
    }

    /// Tells whether the VM has a vote.
    pub(super) fn is_synced(&self) -> bool {
        self.is_synced
    }

    /// Returns the VMs to ask now, each with the last record that was read.
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
            let reading = self.readings.entry(*vm).or_default();
            let is_due = reading
                .asked_at
                .is_none_or(|asked_at| now.since(asked_at) >= settings.sync_interval);
            if !reading.is_done && is_due {
                reading.asked_at = Some(now);
                asked.push((*vm, reading.after.clone()));
            }
        }
        asked
    }

    /// Notes a page; returns whether the next one is to be asked for at once.
    pub(super) fn on_page(
        &mut self,
        now: Monotonic,
        from: VmKey,
        after: &Option<RecordId>,
        next: Option<RecordId>,
    ) -> bool {
        let Some(reading) = self.readings.get_mut(&from) else {
            return false;
        };
        if reading.is_done || reading.after != *after {
            return false;
        }
        reading.is_done = next.is_none();
        reading.after = next;
        reading.asked_at = Some(now);
        !reading.is_done
    }

    /// Brings up to date whether the VM has a vote.
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
            .filter(|vm| self.readings.get(vm).is_some_and(|reading| reading.is_done))
            .count();
        let has_most = (done + 1) * 2 > others.len() + 1;
        let is_late = now.since(self.started_at) >= settings.full_sync_timeout;
        self.is_synced = done == others.len() || (is_late && has_most);
    }
}
