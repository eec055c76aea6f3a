//! The audit trail in JSON.

use serde::Deserialize;
use serde::Serialize;

use crate::operator::AuditEntry;

/// A part of the audit trail of one VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct AuditWire {
    /// The VM.
    pub vm: String,
    /// The entries, oldest first.
    pub entries: Vec<AuditEntryWire>,
    /// The value of `after` that requests the entries that follow.
    pub next_after: u64,
}

/// One entry of the audit trail.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct AuditEntryWire {
    /// The sequence number.
    pub number: u64,
    /// When it was recorded, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The ticket; absent for an automatic action.
    pub ticket: Option<u64>,
    /// What happened and why.
    pub summary: String,
}

impl From<AuditEntry> for AuditEntryWire {
    fn from(entry: AuditEntry) -> Self {
        Self {
            number: entry.number,
            at_unix_ms: entry.at.unix_ms,
            ticket: entry.ticket.map(|ticket| ticket.0),
            summary: entry.summary,
        }
    }
}
