//! Decides when a VM has learned the configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use super::SenderPhase;
use crate::catalog::VmKey;
use crate::clock::Monotonic;

const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// The most peers that a booting VM asks.
pub(super) const BOOT_PEERS_MAX: usize = 5;

/// A VM that asks its peers for the configuration before it serves.
///
/// The service may be stale, so its answer alone does not end the boot before the wait is over.
#[derive(Clone, Debug)]
pub(super) struct Boot {
    started_at: Monotonic,
    wait: Duration,
    last_asked_at: Option<Monotonic>,
    peers: BTreeMap<VmKey, PeerState>,
}

/// What is known about a peer that was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerState {
    Asked,
    Synchronised,
}

/// How a boot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BootOutcome {
    /// Peers that serve have the same state.
    Synchronised {
        /// Their number.
        peer_count: usize,
    },
    /// No peer that serves has answered in time.
    WithoutPeers,
}

impl Boot {
    pub(super) fn new(now: Monotonic, wait: Duration) -> Self {
        Self {
            started_at: now,
            wait,
            last_asked_at: None,
            peers: BTreeMap::new(),
        }
    }

    /// Tells whether it is time to ask again.
    pub(super) fn is_ask_due(&self, now: Monotonic) -> bool {
        self.last_asked_at
            .is_none_or(|asked_at| now.since(asked_at) >= ASK_INTERVAL)
    }

    /// Adds peers up to the limit and returns all that are to be asked now.
    pub(super) fn ask(
        &mut self,
        now: Monotonic,
        candidates: impl Iterator<Item = VmKey>,
    ) -> Vec<VmKey> {
        self.last_asked_at = Some(now);
        for vm in candidates {
            if self.peers.len() == BOOT_PEERS_MAX {
                break;
            }
            self.peers.entry(vm).or_insert(PeerState::Asked);
        }
        self.peers
            .iter()
            .filter(|(_, state)| **state == PeerState::Asked)
            .map(|(vm, _)| *vm)
            .collect()
    }

    /// Records that a peer has the same state as this VM.
    pub(super) fn on_same_state(&mut self, from: VmKey, phase: SenderPhase) {
        if phase == SenderPhase::Ready {
            self.peers.insert(from, PeerState::Synchronised);
        }
    }

    /// Returns how the boot ended, if it has.
    pub(super) fn outcome(&self, now: Monotonic, has_configuration: bool) -> Option<BootOutcome> {
        let peer_count = self
            .peers
            .values()
            .filter(|state| **state == PeerState::Synchronised)
            .count();
        let has_waited = now.since(self.started_at) >= self.wait;
        let is_complete = peer_count > 0 && peer_count == self.peers.len();
        if is_complete || (has_waited && peer_count > 0) {
            return Some(BootOutcome::Synchronised { peer_count });
        }
        (has_waited && has_configuration).then_some(BootOutcome::WithoutPeers)
    }
}
