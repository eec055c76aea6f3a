//! The routes of plain services: any method and path that no other route matches.

use rocket::async_trait;
use rocket::http::Method;
use rocket::http::Status;
use rocket::route;
use rocket::route::Handler;
use rocket::Data;
use rocket::Request;
use rocket::Route;

use super::caller_answer::CallerAnswer;
use super::caller_headers::CallerHeaders;
use super::caller_state::CallerState;
use super::completion_routes::read_body;
use super::service_answer;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::request::CallBody;
use crate::request::CallTarget;
use crate::request::HttpMethod;
use crate::request::IncomingCall;
use crate::request::ServiceCall;

/// The Rocket rank of the routes of plain services; it is higher than all others, so they are tried
/// last.
const RANK: isize = 100;

/// A form that starts with this field overrides the method of the request in Rocket.
const METHOD_OVERRIDE_FIELD: &[u8] = b"_method=";

#[derive(Clone, Copy)]
struct ServiceHandler;

/// Returns the routes of plain services, one for each method.
pub(super) fn service_routes() -> Vec<Route> {
    HttpMethod::ALL
        .into_iter()
        .map(|method| Route::ranked(RANK, rocket_method(method), "/<path..>", ServiceHandler))
        .collect()
}

#[async_trait]
impl Handler for ServiceHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> route::Outcome<'r> {
        let headers = CallerHeaders::read(request);
        let id = headers.id;
        let Some(state) = request.rocket().state::<CallerState>() else {
            return route::Outcome::error(Status::InternalServerError);
        };
        let answer = call_service(request, headers, data, state)
            .await
            .unwrap_or_else(|error| CallerAnswer::error(id, &error));
        route::Outcome::from(request, answer)
    }
}

async fn call_service(
    request: &Request<'_>,
    headers: CallerHeaders,
    data: Data<'_>,
    state: &CallerState,
) -> Result<CallerAnswer, GatewayError> {
    let received_at = state.clock.now();
    let connection = headers.connection()?;
    let credentials = headers.credentials?;
    let method = http_method(request.method())?;
    let content_type = request.headers().get_one("content-type");
    let content_type = content_type.map(str::to_owned);
    let body = read_body(data, state.limits).await?;
    refuse_method_override(request, &body)?;
    let call = IncomingCall {
        id: headers.id,
        key_digest: credentials.key_digest,
        target: CallTarget::Path(request.uri().path().to_string()),
        body: CallBody::Service(ServiceCall {
            method,
            path_and_query: request.uri().to_string(),
            content_type,
            body,
        }),
        idempotency_key: credentials.idempotency_key,
        received_at,
    };
    let answer = async {
        let events = state.gateway.call(call).await?;
        service_answer::collect(headers.id, events, &state.whole_answers.begin()).await
    };
    connection.run_while_open(answer).await
}

/// Refuses a form whose first field makes Rocket change the method of the request.
fn refuse_method_override(request: &Request<'_>, body: &[u8]) -> Result<(), GatewayError> {
    let is_form = request.content_type().is_some_and(|media| media.is_form());
    if !is_form || !body.starts_with(METHOD_OVERRIDE_FIELD) {
        return Ok(());
    }
    Err(GatewayError::new(
        ErrorKind::MalformedRequest,
        "a form must not start with the field _method",
    ))
}

const fn rocket_method(method: HttpMethod) -> Method {
    match method {
        HttpMethod::Get => Method::Get,
        HttpMethod::Head => Method::Head,
        HttpMethod::Post => Method::Post,
        HttpMethod::Put => Method::Put,
        HttpMethod::Patch => Method::Patch,
        HttpMethod::Delete => Method::Delete,
        HttpMethod::Options => Method::Options,
    }
}

fn http_method(method: Method) -> Result<HttpMethod, GatewayError> {
    HttpMethod::ALL
        .into_iter()
        .find(|candidate| rocket_method(*candidate) == method)
        .ok_or_else(|| {
            GatewayError::new(
                ErrorKind::MalformedRequest,
                format!("the method {method} is not served"),
            )
        })
}
