//! The completion route of the stand-in engine.

use std::io::Cursor;
use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use futures::StreamExt;
use rocket::async_trait;
use rocket::data::ToByteUnit;
use rocket::http::ContentType;
use rocket::http::Status;
use rocket::post;
use rocket::request::FromRequest;
use rocket::request::Outcome;
use rocket::response;
use rocket::response::stream::ReaderStream;
use rocket::response::Responder;
use rocket::Data;
use rocket::Request;
use rocket::Response;
use rocket::State;
use tokio::sync::mpsc;

use super::answer_job::AnswerJob;
use super::answer_tokens;
use super::engine_state::AttemptId;
use super::engine_state::EngineState;
use crate::caller::CompletionWire;
use crate::endpoint::ANSWER_MAX_TOKENS_HEADER;
use crate::endpoint::ATTEMPT_HEADER;
use crate::endpoint::PRIORITY_HEADER;
use crate::endpoint::REQUEST_ID_HEADER;
use crate::endpoint::RESUME_OFFSET_HEADER;
use crate::endpoint::RUN_STATE_HEADER;
use crate::errors::RunState;
use crate::request::RequestId;

const BODY_MAX_BYTES: u64 = 8 << 20;
const RETRY_AFTER_S: &str = "1";

/// The headers of a completion request.
pub(super) struct EngineHeaders {
    id: AttemptId,
    priority: u32,
    resume_offset: u64,
    answer_max_tokens: Option<u64>,
}

/// The engine's response to a completion request.
pub(super) enum EngineAnswer {
    /// A stream of encoded events.
    Events(mpsc::Receiver<Bytes>),
    /// A refusal with the header that says the request did not run.
    Refusal,
    /// A failure without a run state header.
    Failure(Status),
}

impl<'r> Responder<'r, 'r> for EngineAnswer {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'r> {
        let mut response = Response::new();
        match self {
            Self::Events(mut events) => {
                let events = stream::poll_fn(move |context| events.poll_recv(context));
                response.set_header(ContentType::EventStream);
                response.set_streamed_body(ReaderStream::from(events.map(Cursor::new)));
            }
            Self::Refusal => {
                response.set_status(Status::ServiceUnavailable);
                response.set_raw_header(RUN_STATE_HEADER, RunState::NotRun.as_str());
                response.set_raw_header("retry-after", RETRY_AFTER_S);
            }
            Self::Failure(status) => response.set_status(status),
        }
        Ok(response)
    }
}

#[async_trait]
impl<'r> FromRequest<'r> for EngineHeaders {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        match Self::read(request) {
            Some(headers) => Outcome::Success(headers),
            None => Outcome::Error((Status::BadRequest, ())),
        }
    }
}

impl EngineHeaders {
    fn read(request: &Request<'_>) -> Option<Self> {
        let headers = request.headers();
        let optional_number = |name| match headers.get_one(name) {
            None => Some(None),
            Some(text) => text.parse().ok().map(Some),
        };
        let number = |name| Some(optional_number(name)?.unwrap_or(0));
        let request_id = headers.get_one(REQUEST_ID_HEADER)?;
        Some(Self {
            id: AttemptId {
                request_id: RequestId::from_hex(request_id)?,
                attempt: number(ATTEMPT_HEADER)?,
            },
            priority: u32::try_from(number(PRIORITY_HEADER)?).ok()?,
            resume_offset: number(RESUME_OFFSET_HEADER)?,
            answer_max_tokens: optional_number(ANSWER_MAX_TOKENS_HEADER)?,
        })
    }
}

/// Answers a completion request.
#[post("/v1/chat/completions", data = "<data>")]
pub(super) async fn complete(
    headers: EngineHeaders,
    data: Data<'_>,
    state: &State<Arc<EngineState>>,
) -> EngineAnswer {
    state.silence.ended().await;
    let faults = state.faults.lock().hit();
    if faults.is_refusing {
        state.counts.lock().refused += 1;
        return EngineAnswer::Refusal;
    }
    if let Some(status) = faults.failure_status {
        return EngineAnswer::Failure(Status::new(status));
    }
    let Some(body) = read_body(data).await else {
        return EngineAnswer::Failure(Status::BadRequest);
    };
    let call = CompletionWire::parse(&body).and_then(|wire| wire.into_call(body.clone()));
    let Ok(call) = call else {
        return EngineAnswer::Failure(Status::BadRequest);
    };
    count_start(state, headers.resume_offset);
    let answer_max_tokens = headers.answer_max_tokens.unwrap_or(call.answer_max_tokens);
    let (events, event_receiver) = mpsc::channel(1);
    let job = AnswerJob {
        id: headers.id,
        tokens: answer_tokens(&body, answer_max_tokens + faults.surplus_tokens),
        call,
        priority: headers.priority,
        resume_offset: headers.resume_offset,
        faults,
        state: Arc::clone(state),
        events,
    };
    tokio::spawn(job.run());
    EngineAnswer::Events(event_receiver)
}

async fn read_body(data: Data<'_>) -> Option<Bytes> {
    let body = data.open(BODY_MAX_BYTES.bytes()).into_bytes().await.ok()?;
    Some(Bytes::from(body.into_inner()))
}

fn count_start(state: &EngineState, resume_offset: u64) {
    let mut counts = state.counts.lock();
    if resume_offset == 0 {
        counts.started += 1;
    } else {
        counts.resumed += 1;
    }
}
