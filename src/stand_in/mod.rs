//! Stand-ins (test doubles) for the platform, model engines and plain services.

mod attempt_name;
pub mod deployment;
pub mod engine;
pub mod platform;
pub mod service;
mod silence;
