//! Tokens that a request has reserved.

use std::sync::Arc;

use super::HeldGrant;

/// Tokens that a request has reserved, passed to [`TokenPool::settle`](super::TokenPool::settle)
/// when the request ends.
///
/// The unused tokens of a reservation that is dropped are not refunded.
#[derive(Debug, Default)]
#[must_use]
pub struct Reservation {
    parts: Vec<ReservedPart>,
}

#[derive(Debug)]
struct ReservedPart {
    grant: Arc<HeldGrant>,
    tokens: u64,
}

impl Reservation {
    /// Adds tokens that were taken from `grant`.
    pub(super) fn add(&mut self, grant: &Arc<HeldGrant>, tokens: u64) {
        if tokens == 0 {
            return;
        }
        self.parts.push(ReservedPart {
            grant: Arc::clone(grant),
            tokens,
        });
    }

    /// Returns the reserved tokens.
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Counts `used_tokens` as used and the rest as refunded.
    pub(super) fn settle(self, used_tokens: u64) {
        let mut left_tokens = used_tokens;
        for part in self.parts {
            let part_used_tokens = part.tokens.min(left_tokens);
            left_tokens -= part_used_tokens;
            part.grant
                .settle(part_used_tokens, part.tokens - part_used_tokens);
        }
    }
}
