//! The route of completion requests.

use std::sync::Arc;

use bytes::Bytes;
use rocket::data::ToByteUnit;
use rocket::post;
use rocket::Data;
use rocket::State;
use tokio::time::timeout;

use super::caller_answer::CallerAnswer;
use super::caller_headers::CallerHeaders;
use super::caller_state::CallerState;
use super::completion_answer;
use super::completion_answer::CompletionMeta;
use super::CallerLimits;
use super::CompletionWire;
use crate::catalog::Name;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::request::CallBody;
use crate::request::CallTarget;
use crate::request::IncomingCall;

/// Answers a completion request.
#[post("/v1/chat/completions", data = "<data>")]
pub(super) async fn complete(
    headers: CallerHeaders,
    data: Data<'_>,
    state: &State<CallerState>,
) -> CallerAnswer {
    let id = headers.id;
    try_complete(headers, data, state)
        .await
        .unwrap_or_else(|error| CallerAnswer::error(id, &error))
}

async fn try_complete(
    headers: CallerHeaders,
    data: Data<'_>,
    state: &CallerState,
) -> Result<CallerAnswer, GatewayError> {
    let received_at = state.clock.now();
    let connection = headers.connection()?;
    let credentials = headers.credentials?;
    let body = read_body(data, state.limits).await?;
    let wire = CompletionWire::parse(&body)?;
    let model = Name::new(&wire.model).map_err(|error| malformed(format!("model: {error}")))?;
    let completion = wire.into_call(body)?;
    let is_stream = completion.is_stream;
    let meta = CompletionMeta {
        id: headers.id,
        model: model.as_str().to_owned(),
        created_unix_s: state.clock.wall_time().unix_ms / 1_000,
    };
    let call = IncomingCall {
        id: headers.id,
        key_digest: credentials.key_digest,
        target: CallTarget::Model(model),
        body: CallBody::Completion(completion),
        idempotency_key: credentials.idempotency_key,
        received_at,
    };
    let answer = async {
        let events = state.gateway.call(call).await?;
        if is_stream {
            completion_answer::streamed(meta, events, Arc::clone(&connection)).await
        } else {
            completion_answer::buffered(meta, &state.whole_answers.begin(), events).await
        }
    };
    connection.run_while_open(answer).await
}

/// Reads the body of a request.
///
/// # Errors
///
/// Returns [`ErrorKind::BodyTooLarge`] if the body is over the limit, and
/// [`ErrorKind::MalformedRequest`] if it ends early or does not arrive within the read timeout.
pub(super) async fn read_body(data: Data<'_>, limits: CallerLimits) -> Result<Bytes, GatewayError> {
    let max_bytes = limits.body_max_bytes;
    let reading = data.open(max_bytes.bytes()).into_bytes();
    let body = timeout(limits.read_timeout, reading)
        .await
        .map_err(|_| malformed("the body did not arrive in time"))?
        .map_err(|_| malformed("the body ended early"))?;
    if !body.is_complete() {
        return Err(GatewayError::new(
            ErrorKind::BodyTooLarge,
            format!("the body is longer than {max_bytes} bytes"),
        ));
    }
    Ok(Bytes::from(body.into_inner()))
}

fn malformed(message: impl Into<String>) -> GatewayError {
    GatewayError::new(ErrorKind::MalformedRequest, message)
}
