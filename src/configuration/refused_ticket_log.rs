//! The most recently refused change tickets.

use std::collections::VecDeque;

use super::RawTicket;
use super::TicketError;
use crate::catalog::TicketNumber;

const REFUSED_TICKETS_MAX: usize = 64;

/// A refused change ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedTicket {
    /// The ticket number.
    pub number: TicketNumber,
    /// Why it was refused.
    pub reason: TicketError,
    body_hash: u64,
}

/// The most recently refused change tickets; when the log is full, the oldest is evicted.
#[derive(Clone, Debug, Default)]
pub struct RefusedTicketLog {
    tickets: VecDeque<RefusedTicket>,
}

impl RefusedTicketLog {
    /// Records a refused ticket; returns `false` if the same number and text are recorded already.
    pub fn record(&mut self, raw: &RawTicket, reason: TicketError) -> bool {
        let body_hash = xxhash_rust::xxh3::xxh3_64(&raw.body);
        let is_known = self
            .tickets
            .iter()
            .any(|ticket| ticket.number == raw.number && ticket.body_hash == body_hash);
        if is_known {
            return false;
        }
        if self.tickets.len() == REFUSED_TICKETS_MAX {
            self.tickets.pop_front();
        }
        self.tickets.push_back(RefusedTicket {
            number: raw.number,
            reason,
            body_hash,
        });
        true
    }

    /// Returns the refused tickets, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &RefusedTicket> {
        self.tickets.iter()
    }
}
