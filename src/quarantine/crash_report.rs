//! A crash of an endpoint while it ran a request.

use std::collections::BTreeSet;

use super::EventTime;
use super::InstanceHash;
use super::PartHash;

/// An answer that an endpoint broke off.
///
/// The times are by the clock of the VM that holds the report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The instance of the endpoint.
    pub endpoint: InstanceHash,
    /// When the head of the answer arrived, or when the request was sent if none did.
    pub began_at: EventTime,
    /// When the connection broke.
    pub crashed_at: EventTime,
    /// The parts of the request that may be the cause, sorted: its fingerprint and, before the first event
    /// of its answer, the shared parts of its prompt.
    pub parts: Vec<PartHash>,
}

impl CrashReport {
    /// The largest number of parts of a report.
    pub const PARTS_MAX: usize = 32;

    /// Returns whether the request had all of these parts.
    pub(super) fn has_all(&self, parts: &BTreeSet<PartHash>) -> bool {
        parts.iter().all(|part| self.parts.contains(part))
    }

    /// Returns whether both reports tell the same: an instance crashes once, and the times of a report
    /// vary with its way through the fleet.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.endpoint == other.endpoint && self.parts == other.parts
    }
}
