//! Decides when a booting VM has a current configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use super::SenderPhase;
use crate::catalog::VmKey;
use crate::clock::Monotonic;

const QUERY_INTERVAL: Duration = Duration::from_millis(200);

/// The maximum number of peers that a booting VM queries.
pub(super) const BOOT_PEERS_MAX: usize = 5;

/// The boot of a VM, which queries its peers for the configuration before it serves.
///
/// The service may be stale, so its tickets alone do not end the boot before the timeout.
#[derive(Clone, Debug)]
pub(super) struct Boot {
    started_at: Monotonic,
    timeout: Duration,
    last_queried_at: Option<Monotonic>,
    peers: BTreeMap<VmKey, PeerState>,
}

/// The state of a queried peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerState {
    Queried,
    Synchronised,
}

/// How a boot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BootOutcome {
    /// Serving peers have the same state.
    Synchronised {
        /// The number of these peers.
        peer_count: usize,
    },
    /// No serving peer with the same state replied before the timeout.
    WithoutPeers,
}

impl Boot {
    pub(super) fn new(now: Monotonic, timeout: Duration) -> Self {
        Self {
            started_at: now,
            timeout,
            last_queried_at: None,
            peers: BTreeMap::new(),
        }
    }

    /// Returns whether the peers are to be queried again.
    pub(super) fn is_query_due(&self, now: Monotonic) -> bool {
        self.last_queried_at
            .is_none_or(|queried_at| now.since(queried_at) >= QUERY_INTERVAL)
    }

    /// Adds peers up to [`BOOT_PEERS_MAX`] and returns those to query now.
    pub(super) fn query(
        &mut self,
        now: Monotonic,
        candidates: impl Iterator<Item = VmKey>,
    ) -> Vec<VmKey> {
        self.last_queried_at = Some(now);
        for vm in candidates {
            if self.peers.len() == BOOT_PEERS_MAX {
                break;
            }
            self.peers.entry(vm).or_insert(PeerState::Queried);
        }
        self.peers
            .iter()
            .filter(|(_, state)| **state == PeerState::Queried)
            .map(|(vm, _)| *vm)
            .collect()
    }

    /// Records that a peer has the same state as the local VM.
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
        let has_timed_out = now.since(self.started_at) >= self.timeout;
        let is_complete = peer_count > 0 && peer_count == self.peers.len();
        if is_complete || (has_timed_out && peer_count > 0) {
            return Some(BootOutcome::Synchronised { peer_count });
        }
        (has_timed_out && has_configuration).then_some(BootOutcome::WithoutPeers)
    }
}
