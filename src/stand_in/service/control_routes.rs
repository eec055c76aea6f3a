//! The routes by which tests and operators of the stand-in service switch its faults.

use std::sync::Arc;

use rocket::get;
use rocket::put;
use rocket::serde::json::Json;
use rocket::State;

use super::service_state::ServiceState;
use super::ExecutionLog;
use super::ServiceFaults;

/// Tells which faults are on.
#[get("/control/faults")]
pub(super) fn faults(state: &State<Arc<ServiceState>>) -> Json<ServiceFaults> {
    Json(*state.faults.lock())
}

/// Sets all faults.
#[put("/control/faults", data = "<faults>")]
pub(super) fn set_faults(faults: Json<ServiceFaults>, state: &State<Arc<ServiceState>>) {
    *state.faults.lock() = faults.into_inner();
}

/// Lists what the service has run.
#[get("/control/executions")]
pub(super) fn executions(state: &State<Arc<ServiceState>>) -> Json<ExecutionLog> {
    Json(state.log.lock().clone())
}
