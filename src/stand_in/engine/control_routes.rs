//! The routes that read and set the simulated faults of the stand-in engine and read its counts.

use std::sync::Arc;

use rocket::get;
use rocket::put;
use rocket::serde::json::Json;
use rocket::State;

use super::engine_state::EngineState;
use super::EngineCounts;
use super::EngineFaults;

/// Returns the simulated faults.
#[get("/control/faults")]
pub(super) fn faults(state: &State<Arc<EngineState>>) -> Json<EngineFaults> {
    Json(*state.faults.lock())
}

/// Replaces all simulated faults.
#[put("/control/faults", data = "<faults>")]
pub(super) fn set_faults(faults: Json<EngineFaults>, state: &State<Arc<EngineState>>) {
    *state.faults.lock() = faults.into_inner();
}

/// Returns the engine's counts.
#[get("/control/counts")]
pub(super) fn counts(state: &State<Arc<EngineState>>) -> Json<EngineCounts> {
    Json(*state.counts.lock())
}
