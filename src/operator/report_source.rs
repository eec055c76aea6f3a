//! The interface through which the operator server reads the state of this VM.

use std::net::SocketAddr;

use super::Explanation;
use super::VmReport;
use crate::catalog::Name;
use crate::catalog::TicketNumber;
use crate::clock::WallTime;
use crate::request::RequestId;

/// Supplies the operator server with the data of this VM.
pub trait ReportSource: Send + Sync {
    /// Returns the report of this VM.
    fn report(&self) -> VmReport;

    /// Returns the operator addresses of the other VMs of the roster.
    fn other_vms(&self) -> Vec<OperatorAddress>;

    /// Returns the explanation of a request, if this VM handled it and still has it stored.
    fn explanation(&self, request_id: RequestId) -> Option<Explanation>;

    /// Returns the entries of the audit trail after number `after`, oldest first, at most `limit`.
    fn audit(&self, after: u64, limit: usize) -> Vec<AuditEntry>;

    /// Returns the metrics in the text format of OpenMetrics.
    fn metrics(&self) -> String;
}

/// The address on which a VM serves operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorAddress {
    /// The VM.
    pub vm: Name,
    /// Its operator address.
    pub address: SocketAddr,
}

/// One entry of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditEntry {
    /// The sequence number; it increases by one with each entry of this VM.
    pub number: u64,
    /// When it was recorded.
    pub at: WallTime,
    /// The ticket; `None` for an automatic action.
    pub ticket: Option<TicketNumber>,
    /// What happened and why.
    pub summary: String,
}
