//! The HTTP routes of the platform stand-in.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rocket::get;
use rocket::http::Status;
use rocket::post;
use rocket::put;
use rocket::response::content::RawJson;
use rocket::routes;
use rocket::serde::json::Json;
use rocket::Route;
use rocket::Shutdown;
use rocket::State;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::timeout_at;

use super::state::tickets_wire;
use super::state::PlatformState;
use super::Availability;
use super::CallCounts;
use super::DirectoryEntryWire;
use super::PlatformFaults;
use crate::catalog::TicketNumber;
use crate::configuration::RawTicket;
use crate::publication::VmsWire;

type SharedState = State<Arc<PlatformState>>;
type JsonResponse = Result<RawJson<String>, Status>;

#[derive(Serialize)]
struct DirectoryWire {
    vms: Vec<DirectoryEntryWire>,
}

#[derive(Deserialize)]
struct TicketNumberWire {
    number: u64,
}

pub(super) fn routes() -> Vec<Route> {
    routes![
        tickets,
        vms,
        directory,
        get_faults,
        put_faults,
        post_ticket,
        put_vms,
        get_calls
    ]
}

#[get("/v1/tickets?<after>&<wait_ms>")]
async fn tickets(
    after: Option<u64>,
    wait_ms: Option<u64>,
    state: &SharedState,
    shutdown: Shutdown,
) -> JsonResponse {
    admit(state, shutdown.clone()).await?;
    let wait = Duration::from_millis(wait_ms.unwrap_or_default());
    state.wait_started();
    let tickets = tokio::select! {
        tickets = wait_for_tickets(state, after.unwrap_or_default(), wait) => tickets,
        () = shutdown => Vec::new(),
    };
    state.wait_ended();
    if state.faults().availability == Availability::Down {
        return Err(Status::ServiceUnavailable);
    }
    Ok(RawJson(state.render(&tickets_wire(tickets))))
}

#[get("/v1/vms")]
async fn vms(state: &SharedState, shutdown: Shutdown) -> JsonResponse {
    admit(state, shutdown).await?;
    Ok(RawJson(state.render(&state.vms(Instant::now()))))
}

#[get("/v1/directory")]
async fn directory(state: &SharedState, shutdown: Shutdown) -> JsonResponse {
    admit(state, shutdown).await?;
    let vms = state.directory();
    Ok(RawJson(state.render(&DirectoryWire { vms })))
}

#[get("/control/faults")]
fn get_faults(state: &SharedState) -> Json<PlatformFaults> {
    Json(state.faults())
}

#[put("/control/faults", data = "<faults>")]
fn put_faults(state: &SharedState, faults: Json<PlatformFaults>) {
    state.set_faults(faults.into_inner());
}

#[post("/control/tickets", data = "<body>")]
fn post_ticket(state: &SharedState, body: Vec<u8>) -> Status {
    let Ok(ticket) = serde_json::from_slice::<TicketNumberWire>(&body) else {
        return Status::BadRequest;
    };
    state.publish(RawTicket {
        number: TicketNumber(ticket.number),
        body: Bytes::from(body),
    });
    Status::NoContent
}

#[put("/control/vms", data = "<vms>")]
fn put_vms(state: &SharedState, vms: Json<VmsWire>) {
    state.set_vms(Instant::now(), vms.into_inner().vms);
}

#[get("/control/calls")]
fn get_calls(state: &SharedState) -> Json<CallCounts> {
    Json(state.counts(Instant::now()))
}

/// Counts a call and applies the availability fault.
async fn admit(state: &SharedState, shutdown: Shutdown) -> Result<(), Status> {
    state.count_call(Instant::now());
    match state.faults().availability {
        Availability::Up => Ok(()),
        Availability::Down => Err(Status::ServiceUnavailable),
        Availability::Silent => {
            shutdown.await;
            Err(Status::ServiceUnavailable)
        }
    }
}

async fn wait_for_tickets(state: &PlatformState, after: u64, wait: Duration) -> Vec<RawTicket> {
    let deadline = tokio::time::Instant::now() + wait;
    let mut changes = state.subscribe();
    loop {
        changes.borrow_and_update();
        let tickets = state.tickets(after);
        if !tickets.is_empty() {
            return tickets;
        }
        if timeout_at(deadline, changes.changed()).await.is_err() {
            return Vec::new();
        }
    }
}
