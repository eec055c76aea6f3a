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
    heard_at: Monotonic,
    send_count: u32,
    liveness: Liveness,
}

/// The silence after which a VM is seen differently.
#[derive(Clone, Copy, Debug)]
pub struct SilenceLimits {
    /// The silence after which a VM is suspected.
    pub suspect_after: Duration,
    /// The silence after which a VM counts as dead.
    pub dead_after: Duration,
}

impl HeartbeatTable {
    /// Makes the table hold exactly `roster`; a VM that joins has `now` to be heard from.
    pub fn retain_roster(&mut self, now: Monotonic, roster: &[VmKey]) {
        self.entries.retain(|vm, _| roster.contains(&vm));
        for vm in roster {
            if !self.entries.contains_key(*vm) {
                self.entries.insert(*vm, Entry::unheard(now));
            }
        }
    }

    /// Returns the newest heartbeat of a VM.
    pub fn heartbeat(&self, vm: VmKey) -> Option<Heartbeat> {
        self.entries.get(vm)?.heartbeat
    }

    /// Returns how a VM is seen.
    pub fn liveness(&self, vm: VmKey) -> Liveness {
        self.entries
            .get(vm)
            .map(|entry| entry.liveness)
            .unwrap_or_default()
    }

    /// Takes a heartbeat and returns whether it is newer than what was known.
    pub fn take(&mut self, now: Monotonic, heartbeat: Heartbeat) -> bool {
        let Some(entry) = self.entries.get_mut(heartbeat.vm) else {
            return false;
        };
        let is_newer = entry
            .heartbeat
            .is_none_or(|known| order_of(&heartbeat) > order_of(&known));
        if is_newer {
            entry.heartbeat = Some(heartbeat);
            entry.heard_at = now;
            entry.send_count = 0;
        }
        is_newer
    }

    /// Sees all VMs anew and returns those that are seen differently.
    pub fn review(&mut self, now: Monotonic, limits: SilenceLimits) -> Vec<(VmKey, Liveness)> {
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

    /// Starts the silence of all VMs at `now`, after a time in which nothing could be heard.
    pub fn forgive(&mut self, now: Monotonic) {
        for entry in self.entries.values_mut() {
            entry.heard_at = now;
        }
    }

    /// Picks up to `count` heartbeats of live VMs, those first that were sent on least often.
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
    fn unheard(now: Monotonic) -> Self {
        Self {
            heartbeat: None,
            heard_at: now,
            send_count: 0,
            liveness: Liveness::Unknown,
        }
    }

    fn liveness_at(&self, now: Monotonic, limits: SilenceLimits) -> Liveness {
        let silence = now.since(self.heard_at);
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
