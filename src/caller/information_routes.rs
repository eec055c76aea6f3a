//! The routes that list the models and VMs that a caller may use.

use rocket::get;
use rocket::State;

use super::caller_answer::CallerAnswer;
use super::caller_headers::CallerHeaders;
use super::caller_state::CallerState;
use super::information_wire::EntryListWire;
use super::information_wire::ModelListWire;
use crate::errors::GatewayError;

/// Lists the models that the key may use.
#[get("/v1/models")]
pub(super) fn models(headers: CallerHeaders, state: &State<CallerState>) -> CallerAnswer {
    let id = headers.id;
    list_models(headers, state).unwrap_or_else(|error| CallerAnswer::error(id, &error))
}

/// Lists the VMs to use.
#[get("/v1/entries")]
pub(super) fn entries(headers: CallerHeaders, state: &State<CallerState>) -> CallerAnswer {
    match headers.credentials {
        Ok(credentials) => {
            let list = state.gateway.entries(credentials.key_digest);
            CallerAnswer::json(headers.id, &EntryListWire::from(list))
        }
        Err(error) => CallerAnswer::error(headers.id, &error),
    }
}

fn list_models(headers: CallerHeaders, state: &CallerState) -> Result<CallerAnswer, GatewayError> {
    let credentials = headers.credentials?;
    let list = state.gateway.models(credentials.key_digest)?;
    Ok(CallerAnswer::json(headers.id, &ModelListWire::from(list)))
}
