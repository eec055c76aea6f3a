//! The routes that read and set the simulated faults of the stand-in service and read its execution
//! log.

use std::sync::Arc;

use rocket::get;
use rocket::put;
use rocket::serde::json::Json;
use rocket::State;

use super::service_state::ServiceState;
use super::ExecutionLog;
use super::ServiceFaults;

/// Returns the simulated faults.
#[get("/control/faults")]
pub(super) fn faults(state: &State<Arc<ServiceState>>) -> Json<ServiceFaults> {
    Json(*state.faults.lock())
}

/// Replaces all simulated faults.
#[put("/control/faults", data = "<faults>")]
pub(super) fn set_faults(faults: Json<ServiceFaults>, state: &State<Arc<ServiceState>>) {
    *state.faults.lock() = faults.into_inner();
}

/// Returns the execution log.
#[get("/control/executions")]
pub(super) fn executions(state: &State<Arc<ServiceState>>) -> Json<ExecutionLog> {
    Json(state.log.lock().clone())
}
