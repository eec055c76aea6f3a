//! The routes of the stand-in engine for load, cancellation and orders.

use std::sync::Arc;

use rocket::get;
use rocket::http::Status;
use rocket::post;
use rocket::serde::json::Json;
use rocket::State;

use super::engine_state::EngineState;
use crate::endpoint::FencedWire;
use crate::endpoint::LoadReportWire;
use crate::endpoint::OrderOutcome;
use crate::endpoint::OrderWire;
use crate::request::RequestId;

/// Reports the load.
#[get("/v1/load?<after>")]
pub(super) async fn load(
    after: Option<u64>,
    state: &State<Arc<EngineState>>,
) -> Json<LoadReportWire> {
    state.silence.ended().await;
    Json(state.report(after.unwrap_or(0)).into())
}

/// Cancels one attempt at a request, or all of them.
#[post("/v1/cancel/<id>?<attempt>")]
pub(super) async fn cancel(
    id: &str,
    attempt: Option<u64>,
    state: &State<Arc<EngineState>>,
) -> Status {
    state.silence.ended().await;
    match RequestId::from_hex(id) {
        Some(request_id) => {
            state.cancel(request_id, attempt);
            Status::Ok
        }
        None => Status::BadRequest,
    }
}

/// Accepts an order, or refuses it with the highest fencing token seen.
#[post("/v1/orders", data = "<wire>")]
pub(super) fn order(
    wire: Json<OrderWire>,
    state: &State<Arc<EngineState>>,
) -> Result<Status, (Status, Json<FencedWire>)> {
    let order = wire.into_inner().try_into();
    let order = order.map_err(|_| (Status::BadRequest, Json(FencedWire::default())))?;
    match state.order(&order) {
        OrderOutcome::Accepted => Ok(Status::Ok),
        OrderOutcome::Fenced { highest } => Err((Status::Conflict, Json(highest.into()))),
    }
}
