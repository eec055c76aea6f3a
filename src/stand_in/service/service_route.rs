//! The routes of the stand-in service, which accept any method and path.

use std::convert::Infallible;
use std::io::Cursor;
use std::sync::Arc;
use std::time::Duration;

use futures::stream;
use futures::Stream;
use futures::StreamExt;
use rocket::async_trait;
use rocket::data::ToByteUnit;
use rocket::http::ContentType;
use rocket::http::Method;
use rocket::http::Status;
use rocket::response::stream::ReaderStream;
use rocket::route;
use rocket::route::Handler;
use rocket::Data;
use rocket::Request;
use rocket::Response;
use rocket::Route;
use serde::Serialize;
use tokio::io::empty;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::Empty;
use tokio::time::sleep;
use tokio_util::either::Either;

use super::service_state::ServiceState;
use super::Execution;
use super::ServiceFaults;
use crate::endpoint::REQUEST_ID_HEADER;
use crate::endpoint::RUN_STATE_HEADER;
use crate::errors::RunState;

const BODY_MAX_BYTES: u64 = 8 << 20;
/// The rank of the routes, behind the control routes.
const RANK: isize = 100;
/// The time between the last byte of a truncated answer and the end of its connection.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);
const RETRY_AFTER_S: &str = "1";
const METHODS: [Method; 7] = [
    Method::Get,
    Method::Head,
    Method::Post,
    Method::Put,
    Method::Patch,
    Method::Delete,
    Method::Options,
];

#[derive(Clone, Copy)]
struct ServiceHandler;

/// The body of the answer to a call that ran.
#[derive(Serialize)]
struct AnswerWire<'a> {
    method: &'a str,
    path: &'a str,
    body: &'a str,
}

/// Returns one route for each method.
pub(super) fn service_routes() -> Vec<Route> {
    METHODS
        .into_iter()
        .map(|method| Route::ranked(RANK, method, "/<path..>", ServiceHandler))
        .collect()
}

#[async_trait]
impl Handler for ServiceHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> route::Outcome<'r> {
        let Some(state) = request.rocket().state::<Arc<ServiceState>>() else {
            return route::Outcome::error(Status::InternalServerError);
        };
        match run(request, data, state).await {
            Ok(response) => route::Outcome::Success(response),
            Err(status) => route::Outcome::error(status),
        }
    }
}

async fn run<'r>(
    request: &'r Request<'_>,
    data: Data<'r>,
    state: &ServiceState,
) -> Result<Response<'r>, Status> {
    state.silence.ended().await;
    let faults = state.faults.lock().hit();
    if faults.is_refusing {
        return Ok(refusal());
    }
    sleep(Duration::from_millis(faults.delay_ms)).await;
    hang_if(faults.is_silent_before_run).await;
    let body = data.open(BODY_MAX_BYTES.bytes()).into_string().await;
    let body = body.map_err(|_| Status::BadRequest)?.into_inner();
    sleep(state.options.call_time).await;
    let execution = to_execution(request, body);
    state.log.lock().executions.push(execution.clone());
    hang_if(faults.is_silent_after_run).await;
    state.silence.ended().await;
    if let Some(status) = faults.failure_status_after_run {
        return Err(Status::new(status));
    }
    Ok(answer(&execution, faults))
}

fn to_execution(request: &Request<'_>, body: String) -> Execution {
    let request_id = request.headers().get_one(REQUEST_ID_HEADER);
    Execution {
        request_id: request_id.unwrap_or_default().to_owned(),
        method: request.method().to_string(),
        path_and_query: request.uri().to_string(),
        body,
    }
}

fn answer(execution: &Execution, faults: ServiceFaults) -> Response<'static> {
    let wire = AnswerWire {
        method: &execution.method,
        path: &execution.path_and_query,
        body: &execution.body,
    };
    let whole = serde_json::to_vec(&wire).expect("a struct of texts is valid JSON");
    let mut response = Response::new();
    response.set_header(ContentType::JSON);
    response.set_raw_header("content-length", whole.len().to_string());
    match faults.truncated_after_bytes {
        None => response.set_streamed_body(Cursor::new(whole)),
        Some(sent_bytes) => {
            let sent = Cursor::new(whole).take(sent_bytes);
            response.set_streamed_body(ReaderStream::from(truncated_body(sent)));
        }
    }
    response
}

fn refusal() -> Response<'static> {
    let mut response = Response::new();
    response.set_status(Status::ServiceUnavailable);
    response.set_raw_header(RUN_STATE_HEADER, RunState::NotRun.as_str());
    response.set_raw_header("retry-after", RETRY_AFTER_S);
    response
}

/// Yields the reader `sent` and ends after [`TRUNCATION_DELAY`], so that its bytes are sent before
/// the connection is closed.
fn truncated_body<R: AsyncRead + Send>(sent: R) -> impl Stream<Item = Either<R, Empty>> + Send {
    let end = async {
        sleep(TRUNCATION_DELAY).await;
        Either::Right(empty())
    };
    stream::once(async { Either::Left(sent) }).chain(stream::once(end))
}

async fn hang_if(is_silent: bool) {
    if is_silent {
        match std::future::pending::<Infallible>().await {}
    }
}
