//! Which endpoints name the attempt in their answers.

use std::collections::HashMap;
use std::net::SocketAddr;

use arc_swap::ArcSwap;

/// Whether the answers of an endpoint name the attempt that they answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Naming {
    /// All since the first one that did.
    Reliable,
    /// Some did and a later one did not.
    Unreliable,
}

/// Which endpoints name the attempt in their answers; on a kept connection, no other answer can be
/// told from one that belongs to an earlier call.
#[derive(Debug, Default)]
pub(super) struct AttemptNames {
    namings: ArcSwap<HashMap<SocketAddr, Naming>>,
}

impl AttemptNames {
    /// Returns whether all answers from `address` are expected to name the attempt.
    pub(super) fn is_reliable(&self, address: SocketAddr) -> bool {
        self.namings.load().get(&address) == Some(&Naming::Reliable)
    }

    /// Records an answer that named its attempt.
    pub(super) fn on_named(&self, address: SocketAddr) {
        if !self.namings.load().contains_key(&address) {
            self.set(address, Naming::Reliable);
        }
    }

    /// Records an answer without a name on a kept connection.
    pub(super) fn on_unnamed(&self, address: SocketAddr) {
        log::warn!(address:% = address; "an endpoint no longer names the attempt in its answers, each call gets a new connection");
        self.set(address, Naming::Unreliable);
    }

    fn set(&self, address: SocketAddr, naming: Naming) {
        self.namings.rcu(|namings| {
            let mut namings = HashMap::clone(namings);
            match naming {
                Naming::Reliable => {
                    namings.entry(address).or_insert(naming);
                }
                Naming::Unreliable => {
                    namings.insert(address, naming);
                }
            }
            namings
        });
    }
}
