//! A stand-in for a plain service that logs each execution, with simulated faults.

mod control_routes;
mod execution_log;
mod service_faults;
mod service_options;
mod service_route;
mod service_server;
mod service_state;

pub use execution_log::Execution;
pub use execution_log::ExecutionLog;
pub use service_faults::ServiceFaults;
pub use service_options::ServiceOptions;
pub use service_server::ServiceServer;
