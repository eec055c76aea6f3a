//! The waiting requests of one account in one class.

use std::collections::VecDeque;

use super::class_queue::Startable;
use super::drain_rate::DrainRate;
use crate::clock::Monotonic;

/// The waiting requests of one account in one class, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct AccountFlow {
    /// Slots of the queue's arena.
    pub(super) slots: VecDeque<usize>,
    /// The tokens of all waiting requests.
    pub(super) queued_tokens: u64,
    /// The tokens that may start in the present round.
    pub(super) deficit_tokens: u64,
    /// Whether the present round's quantum was given.
    pub(super) has_quantum: bool,
    /// Whether the flow has a place in the rotation.
    pub(super) is_listed: bool,
    /// The account's weight.
    pub(super) weight: u64,
    /// How fast the account's requests start.
    pub(super) drain: DrainRate,
    /// When the request that was refused last is expected back.
    pub(super) return_at: Monotonic,
}

impl AccountFlow {
    /// Returns `candidate` if the flow's deficit allows it, after giving it the round's quantum.
    pub(super) fn take(
        &mut self,
        candidate: Option<&Startable>,
        quantum_tokens: u64,
    ) -> Option<Startable> {
        let candidate = candidate?;
        if !self.has_quantum {
            self.grant(quantum_tokens, 1);
            self.has_quantum = true;
        }
        if self.deficit_tokens < candidate.cost_tokens {
            return None;
        }
        self.deficit_tokens -= candidate.cost_tokens;
        Some(*candidate)
    }

    /// Adds the quanta of `rounds`.
    pub(super) fn grant(&mut self, quantum_tokens: u64, rounds: u64) {
        let granted = quantum_tokens
            .saturating_mul(self.weight)
            .saturating_mul(rounds);
        self.deficit_tokens = self.deficit_tokens.saturating_add(granted);
    }

    /// Returns the further rounds after which a request of `cost_tokens` may start.
    pub(super) fn rounds_until(&self, cost_tokens: u64, quantum_tokens: u64) -> u64 {
        let missing = cost_tokens.saturating_sub(self.deficit_tokens);
        missing.div_ceil(quantum_tokens.saturating_mul(self.weight).max(1))
    }
}
