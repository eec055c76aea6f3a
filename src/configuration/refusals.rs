//! The change tickets that were refused lately.

use std::collections::VecDeque;

use super::RawTicket;
use super::TicketError;
use crate::catalog::TicketNumber;

const REFUSALS_MAX: usize = 64;

/// A refused change ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedTicket {
    /// The number.
    pub number: TicketNumber,
    /// Why it was refused.
    pub reason: TicketError,
    body_hash: u64,
}

/// The change tickets that were refused lately; bounded, the oldest is forgotten first.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    tickets: VecDeque<RefusedTicket>,
}

impl Refusals {
    /// Remembers a refusal; returns `false` if it was remembered already.
    pub fn remember(&mut self, raw: &RawTicket, reason: TicketError) -> bool {
        let body_hash = xxhash_rust::xxh3::xxh3_64(&raw.body);
        let is_known = self
            .tickets
            .iter()
            .any(|ticket| ticket.number == raw.number && ticket.body_hash == body_hash);
        if is_known {
            return false;
        }
        if self.tickets.len() == REFUSALS_MAX {
            self.tickets.pop_front();
        }
        self.tickets.push_back(RefusedTicket {
            number: raw.number,
            reason,
            body_hash,
        });
        true
    }

    /// Returns the refusals, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &RefusedTicket> {
        self.tickets.iter()
    }
}
