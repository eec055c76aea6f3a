//! The routes by which tests and operators of the stand-in engine switch its faults.

use std::sync::Arc;

use rocket::get;
use rocket::put;
use rocket::serde::json::Json;
use rocket::State;

use super::engine_state::EngineState;
use super::EngineCounts;
use super::EngineFaults;

/// Tells which faults are on.
#[get("/control/faults")]
pub(super) fn faults(state: &State<Arc<EngineState>>) -> Json<EngineFaults> {
    Json(*state.faults.lock())
}

/// Sets all faults.
#[put("/control/faults", data = "<faults>")]
pub(super) fn set_faults(faults: Json<EngineFaults>, state: &State<Arc<EngineState>>) {
    *state.faults.lock() = faults.into_inner();
}

/// Tells what the engine has done.
#[get("/control/counts")]
pub(super) fn counts(state: &State<Arc<EngineState>>) -> Json<EngineCounts> {
    Json(*state.counts.lock())
}
