//! A crash of an endpoint while it began to answer a request.

use super::EventTime;
use super::InstanceHash;
use super::PartHash;

/// An answer that broke off between its head and its first event.
///
/// The times are by the clock of the VM that holds the report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The instance of the endpoint.
    pub endpoint: InstanceHash,
    /// When the head of the answer arrived.
    pub began_at: EventTime,
    /// When the connection broke.
    pub crashed_at: EventTime,
    /// The shared parts of the prompt, sorted.
    pub parts: Vec<PartHash>,
}

impl CrashReport {
    /// The largest number of parts of a report.
    pub const PARTS_MAX: usize = 32;

    /// Returns whether both reports tell the same: an instance crashes once, and the times of a report
    /// vary with its way through the fleet.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.endpoint == other.endpoint && self.parts == other.parts
    }
}
