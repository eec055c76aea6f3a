//! The state of the stand-in service.

use parking_lot::Mutex;

use super::ExecutionLog;
use super::ServiceFaults;
use super::ServiceOptions;

/// The state of the stand-in service.
#[derive(Debug)]
pub(super) struct ServiceState {
    /// The options.
    pub(super) options: ServiceOptions,
    /// The faults that are switched on.
    pub(super) faults: Mutex<ServiceFaults>,
    /// The executions.
    pub(super) log: Mutex<ExecutionLog>,
}
