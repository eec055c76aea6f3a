//! The bounded audit trail.

use std::collections::VecDeque;

use super::AuditEvent;
use crate::clock::WallTime;

/// One entry of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditEntry {
    /// The position, counted from 1 since the process started.
    pub sequence: u64,
    /// When it was recorded, by the clock of this VM.
    pub time: WallTime,
    /// The event.
    pub event: AuditEvent,
}

/// The latest audit entries; a full trail evicts the oldest one.
#[derive(Clone, Debug)]
pub struct AuditTrail {
    entries: VecDeque<AuditEntry>,
    capacity: usize,
    last_sequence: u64,
}

impl AuditTrail {
    /// Creates an empty trail of at most `capacity` entries, and of one if `capacity` is 0.
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            capacity: capacity.max(1),
            last_sequence: 0,
        }
    }

    /// Adds an entry and returns it.
    pub fn push(&mut self, time: WallTime, event: AuditEvent) -> &AuditEntry {
        if self.entries.len() == self.capacity {
            self.entries.pop_front();
        }
        self.last_sequence += 1;
        self.entries.push_back(AuditEntry {
            sequence: self.last_sequence,
            time,
            event,
        });
        &self.entries[self.entries.len() - 1]
    }

    /// Returns the remaining entries after `sequence`, oldest first.
    pub fn since(&self, sequence: u64) -> impl Iterator<Item = &AuditEntry> {
        self.entries
            .iter()
            .filter(move |entry| entry.sequence > sequence)
    }

    /// Returns the sequence number of the last entry, or 0 before the first one.
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }
}
