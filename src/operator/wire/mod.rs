//! The JSON that operators' tools and other VMs read.

mod audit_wire;
mod explanation_wire;
mod page_builder;
mod page_wire;
mod report_wire;
mod report_wire_error;
mod statistics_wire;

pub use audit_wire::AuditEntryWire;
pub use audit_wire::AuditWire;
pub use explanation_wire::CandidateWire;
pub use explanation_wire::ExplanationSetWire;
pub use explanation_wire::ExplanationWire;
pub use explanation_wire::StepWire;
pub use page_wire::AccountRow;
pub use page_wire::BookingsRow;
pub use page_wire::ChangeRow;
pub use page_wire::ConfigurationRow;
pub use page_wire::EndpointRow;
pub use page_wire::HourRow;
pub use page_wire::KindCount;
pub use page_wire::LatencyRow;
pub use page_wire::PageWire;
pub use page_wire::TotalsRow;
pub use page_wire::VmRow;
pub use report_wire::VmReportWire;
pub use report_wire_error::ReportWireError;
