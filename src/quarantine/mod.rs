//! Quarantine of requests and prompt parts that crash endpoints.

mod answered_part;
mod crash_instants;
mod crash_report;
mod crash_selection;
mod culprits;
mod event_time;
mod instance_hash;
mod latest_times;
mod part_hash;
mod reports;
mod request_identity;
mod request_quarantine;

pub use answered_part::AnsweredPart;
pub use crash_report::CrashReport;
pub use event_time::EventTime;
pub use instance_hash::InstanceHash;
pub use part_hash::PartHash;
pub use reports::CrashReports;
pub use request_identity::RequestIdentity;
pub use request_quarantine::RequestQuarantine;
