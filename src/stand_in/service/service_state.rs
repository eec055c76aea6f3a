//! The state of the stand-in service, shared by its routes.

use parking_lot::Mutex;

use super::ExecutionLog;
use super::ServiceFaults;
use super::ServiceOptions;
use crate::stand_in::silence::Silence;

/// The state of the stand-in service, shared by its routes.
#[derive(Debug)]
pub(super) struct ServiceState {
    /// The options.
    pub(super) options: ServiceOptions,
    /// The simulated faults.
    pub(super) faults: Mutex<ServiceFaults>,
    /// The execution log.
    pub(super) log: Mutex<ExecutionLog>,
    /// The silence of the whole service.
    pub(super) silence: Silence,
}
