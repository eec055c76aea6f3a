//! The operators' page, reports, explanations and the audit trail over HTTP.
//!
//! Each VM serves the page on its operator address. It merges the reports of all VMs that respond
//! before the timeout and lists the others as missing.

mod explanation;
mod explanations;
mod fleet_client;
mod fleet_report;
mod operator_server;
pub mod render;
mod report_source;
mod routes;
mod verdict;
mod vm_report;
pub mod wire;

pub use explanation::Candidate;
pub use explanation::CandidateOutcome;
pub use explanation::Explanation;
pub use explanation::ExplanationBuilder;
pub use explanation::ExplanationStep;
pub use explanation::StepEvent;
pub use explanation::EXPLANATION_MAX_CANDIDATES;
pub use explanation::EXPLANATION_MAX_STEPS;
pub use explanations::Explanations;
pub use fleet_report::ChangeKey;
pub use fleet_report::FleetChange;
pub use fleet_report::FleetEndpoint;
pub use fleet_report::FleetLimit;
pub use fleet_report::FleetReport;
pub use fleet_report::FleetVm;
pub use operator_server::OperatorServer;
pub use operator_server::OperatorServerError;
pub use report_source::AuditEntry;
pub use report_source::OperatorAddress;
pub use report_source::ReportSource;
pub use verdict::Verdict;
pub use verdict::VerdictLevel;
pub use verdict::BETWEEN_TOKENS_TARGET_US;
pub use verdict::FIRST_TOKEN_TARGET_US;
pub use vm_report::ChangeReport;
pub use vm_report::EndpointReport;
pub use vm_report::EndpointState;
pub use vm_report::LimitReport;
pub use vm_report::VmReport;
pub use vm_report::VmState;
