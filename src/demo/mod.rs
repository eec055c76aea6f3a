//! Runs a deployment of stand-ins and VMs in one process, and sends it a sample load.

mod demo_error;
mod deployment;
mod fast_settings;
mod load;
mod load_summary;
mod plan;
mod run;
mod sample_call;
mod ticket_text;

pub use demo_error::DemoError;
pub use deployment::Deployment;
pub use fast_settings::fast_core_settings;
pub use load::run_load;
pub use load_summary::LoadSummary;
pub use load_summary::Outcome;
pub use plan::AccountPlan;
pub use plan::DeploymentPlan;
pub use plan::RegionPlan;
pub use run::run_demo;
pub use run::DemoOptions;
pub use sample_call::CallKind;
pub use sample_call::SampleCall;
pub use ticket_text::account_object;
pub use ticket_text::key_object;
pub use ticket_text::raw_ticket;
