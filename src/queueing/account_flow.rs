//! The waiting requests of one account in one class.

use std::collections::VecDeque;

use super::class_queue::Startable;
use super::drain_rate::DrainRate;
use crate::clock::Monotonic;

/// The waiting requests of one account in one class, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct AccountFlow {
    /// The keys of the requests in the slab of the queue.
    pub(super) slots: VecDeque<usize>,
    /// The tokens of all waiting requests.
    pub(super) queued_tokens: u64,
    /// The tokens that may start in the current round.
    pub(super) deficit_tokens: u64,
    /// Whether the quantum of the current round was added.
    pub(super) has_quantum: bool,
    /// Whether the flow is in the rotation; it may be empty.
    pub(super) is_in_rotation: bool,
    /// The weight of the account, at least 1 once it has queued a request.
    pub(super) weight: u64,
    /// The rate at which the requests of the account start.
    pub(super) drain: DrainRate,
    /// The earliest time at which the next refused client is told to retry.
    pub(super) next_retry_at: Monotonic,
}

impl AccountFlow {
    /// Returns `candidate` if the deficit covers its cost; adds the quantum of the round first.
    pub(super) fn take(
        &mut self,
        candidate: Option<&Startable>,
        quantum_tokens: u64,
    ) -> Option<Startable> {
        let candidate = candidate?;
        if !self.has_quantum {
            self.add_quanta(quantum_tokens, 1);
            self.has_quantum = true;
        }
        if self.deficit_tokens < candidate.cost_tokens {
            return None;
        }
        self.deficit_tokens -= candidate.cost_tokens;
        Some(*candidate)
    }

    /// Adds the quanta of a number of rounds to the deficit.
    pub(super) fn add_quanta(&mut self, quantum_tokens: u64, rounds: u64) {
        let added = quantum_tokens
            .saturating_mul(self.weight)
            .saturating_mul(rounds);
        self.deficit_tokens = self.deficit_tokens.saturating_add(added);
    }

    /// Returns the number of further rounds until a request of `cost_tokens` may start.
    pub(super) fn rounds_until(&self, cost_tokens: u64, quantum_tokens: u64) -> u64 {
        let missing = cost_tokens.saturating_sub(self.deficit_tokens);
        missing.div_ceil(quantum_tokens.saturating_mul(self.weight).max(1))
    }
}
