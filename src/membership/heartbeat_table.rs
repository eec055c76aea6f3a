//! The newest heartbeats of the VMs of one region.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use slotmap::SecondaryMap;

use super::Heartbeat;
use super::Liveness;
use crate::catalog::VmKey;
use crate::clock::Monotonic;

/// The newest heartbeats of the VMs of one region.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatTable {
    entries: SecondaryMap<VmKey, Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    heartbeat: Option<Heartbeat>,
    silent_since: Monotonic,
    send_count: u32,
    liveness: Liveness,
}

/// The times without a new heartbeat after which the liveness of a VM changes.
#[derive(Clone, Copy, Debug)]
pub struct SilenceLimits {
    /// The silence after which a VM is suspected.
    pub suspect_after: Duration,
    /// The silence after which a VM counts as dead.
    pub dead_after: Duration,
}

impl HeartbeatTable {
    /// Adds and removes VMs so that the table holds exactly `roster`; the silence of added ones
    /// starts at `now`.
    pub fn retain_roster(&mut self, now: Monotonic, roster: &[VmKey]) {
        self.entries.retain(|vm, _| roster.contains(&vm));
        for vm in roster {
            if !self.entries.contains_key(*vm) {
                self.entries.insert(*vm, Entry::without_heartbeat(now));
            }
        }
    }

    /// Returns the newest heartbeat of a VM.
    pub fn heartbeat(&self, vm: VmKey) -> Option<Heartbeat> {
        self.entries.get(vm)?.heartbeat
    }

    /// Returns the liveness of a VM as of the last update.
    pub fn liveness(&self, vm: VmKey) -> Liveness {
        self.entries
            .get(vm)
            .map(|entry| entry.liveness)
            .unwrap_or_default()
    }

    /// Stores a heartbeat if it is newer than the one held; returns whether it was.
    pub fn record(&mut self, now: Monotonic, heartbeat: Heartbeat) -> bool {
        let Some(entry) = self.entries.get_mut(heartbeat.vm) else {
            return false;
        };
        let is_newer = entry
            .heartbeat
            .is_none_or(|known| order_of(&heartbeat) > order_of(&known));
        if is_newer {
            entry.heartbeat = Some(heartbeat);
            entry.silent_since = now;
            entry.send_count = 0;
        }
        is_newer
    }

    /// Updates the liveness of all VMs and returns the changes.
    pub fn update_liveness(
        &mut self,
        now: Monotonic,
        limits: SilenceLimits,
    ) -> Vec<(VmKey, Liveness)> {
        let mut changes = Vec::new();
        for (vm, entry) in &mut self.entries {
            let liveness = entry.liveness_at(now, limits);
            if liveness != entry.liveness {
                entry.liveness = liveness;
                changes.push((vm, liveness));
            }
        }
        changes
    }

    /// Restarts the silence of all VMs at `now`, after a time without reception.
    pub fn reset_silence(&mut self, now: Monotonic) {
        for entry in self.entries.values_mut() {
            entry.silent_since = now;
        }
    }

    /// Picks up to `count` heartbeats of live VMs, the least often forwarded ones first.
    pub fn pick(&mut self, count: usize, rng: &mut impl Rng) -> Vec<Heartbeat> {
        let mut picked: Vec<(u32, u32, Heartbeat)> = self
            .entries
            .values()
            .filter(|entry| entry.liveness == Liveness::Alive)
            .filter_map(|entry| Some((entry.send_count, rng.random(), entry.heartbeat?)))
            .collect();
        picked.sort_by_key(|(send_count, tie, _)| (*send_count, *tie));
        picked.truncate(count);
        for (_, _, heartbeat) in &picked {
            self.entries[heartbeat.vm].send_count += 1;
        }
        picked
            .into_iter()
            .map(|(_, _, heartbeat)| heartbeat)
            .collect()
    }
}

impl Entry {
    fn without_heartbeat(now: Monotonic) -> Self {
        Self {
            heartbeat: None,
            silent_since: now,
            send_count: 0,
            liveness: Liveness::Unknown,
        }
    }

    fn liveness_at(&self, now: Monotonic, limits: SilenceLimits) -> Liveness {
        let silence = now.since(self.silent_since);
        if silence >= limits.dead_after {
            return Liveness::Dead;
        }
        if self.heartbeat.is_none() {
            return Liveness::Unknown;
        }
        if silence >= limits.suspect_after {
            return Liveness::Suspected;
        }
        Liveness::Alive
    }
}

fn order_of(heartbeat: &Heartbeat) -> (u64, u32) {
    (heartbeat.incarnation.0, heartbeat.counter)
}
