//! The JSON form of the audit trail.

use serde::Deserialize;
use serde::Serialize;

use super::AuditEntry;

/// The JSON form of a part of the trail of one VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct AuditTrailWire {
    /// The VM.
    pub vm: String,
    /// The entries, oldest first.
    pub entries: Vec<AuditEntryWire>,
}

/// The JSON form of one entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct AuditEntryWire {
    /// The position in the trail.
    pub sequence: u64,
    /// The time of day, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// The stable code of the event.
    pub event: String,
    /// The ticket that the event belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<u64>,
    /// The event as a sentence.
    pub text: String,
}

impl From<&AuditEntry> for AuditEntryWire {
    fn from(entry: &AuditEntry) -> Self {
        Self {
            sequence: entry.sequence,
            unix_ms: entry.time.unix_ms,
            event: entry.event.code().to_owned(),
            ticket: entry.event.ticket().map(|ticket| ticket.0),
            text: entry.event.to_string(),
        }
    }
}
