//! Quarantine of prompt parts that crash endpoints.

mod answered_part;
mod crash_instants;
mod crash_report;
mod culprits;
mod event_time;
mod instance_hash;
mod latest_times;
mod part_hash;
mod prompt_quarantine;
mod reports;
mod request_identity;

pub use answered_part::AnsweredPart;
pub use crash_report::CrashReport;
pub use event_time::EventTime;
pub use instance_hash::InstanceHash;
pub use part_hash::PartHash;
pub use prompt_quarantine::PromptQuarantine;
pub use reports::CrashReports;
pub use request_identity::RequestIdentity;
