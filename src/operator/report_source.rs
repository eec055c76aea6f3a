//! The border towards the state of the VM.

use std::net::SocketAddr;

use super::Explanation;
use super::VmReport;
use crate::catalog::Name;
use crate::catalog::TicketNumber;
use crate::clock::WallTime;
use crate::request::RequestId;

/// Tells the operators' page what this VM knows.
pub trait ReportSource: Send + Sync {
    /// Returns the report of this VM.
    fn report(&self) -> VmReport;

    /// Returns the other VMs of the roster.
    fn other_vms(&self) -> Vec<OperatorAddress>;

    /// Returns what this VM did with a request.
    fn explanation(&self, request_id: RequestId) -> Option<Explanation>;

    /// Returns the entries of the audit trail after number `after`, oldest first, at most `limit`.
    fn audit(&self, after: u64, limit: usize) -> Vec<AuditEntry>;

    /// Returns the metrics in the text format of OpenMetrics.
    fn metrics(&self) -> String;
}

/// Where another VM serves operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorAddress {
    /// The VM.
    pub vm: Name,
    /// Its address for operators.
    pub address: SocketAddr,
}

/// One entry of the audit trail, as it is shown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditEntry {
    /// The number; it grows by one with each entry of this VM.
    pub number: u64,
    /// When it happened.
    pub at: WallTime,
    /// The ticket; `None` if the system acted by itself.
    pub ticket: Option<TicketNumber>,
    /// What happened, and why.
    pub summary: String,
}
