//! The routes of the stand-in engine.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use futures::Stream;
use futures::StreamExt;
use rocket::async_trait;
use rocket::data::ToByteUnit;
use rocket::http::ContentType;
use rocket::http::Status;
use rocket::post;
use rocket::request::FromRequest;
use rocket::request::Outcome;
use rocket::response::stream::ReaderStream;
use rocket::Data;
use rocket::Request;
use rocket::State;

use super::answer_tokens;
use super::engine_state::EngineState;
use super::event_body;
use crate::caller::CompletionWire;
use crate::endpoint::REQUEST_ID_HEADER;
use crate::endpoint::RESUME_OFFSET_HEADER;
use crate::request::AnswerEvent;
use crate::request::AnswerPayload;
use crate::request::RequestId;
use crate::request::Usage;

const BODY_MAX_BYTES: u64 = 8 << 20;

type Body = ReaderStream<stream::BoxStream<'static, io::Cursor<Bytes>>>;

pub(super) struct EngineHeaders {
    request_id: RequestId,
    resume_offset: u64,
}

#[async_trait]
impl<'r> FromRequest<'r> for EngineHeaders {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let headers = request.headers();
        let request_id = headers
            .get_one(REQUEST_ID_HEADER)
            .and_then(RequestId::from_hex);
        let resume_offset = headers
            .get_one(RESUME_OFFSET_HEADER)
            .map_or(Some(0), |text| text.parse().ok());
        match (request_id, resume_offset) {
            (Some(request_id), Some(resume_offset)) => Outcome::Success(Self {
                request_id,
                resume_offset,
            }),
            _ => Outcome::Error((Status::BadRequest, ())),
        }
    }
}

/// Answers a completion request.
#[post("/v1/chat/completions", data = "<data>")]
pub(super) async fn complete(
    headers: EngineHeaders,
    data: Data<'_>,
    state: &State<Arc<EngineState>>,
) -> Result<(ContentType, Body), Status> {
    let body = data.open(BODY_MAX_BYTES.bytes()).into_bytes().await;
    let body = Bytes::from(body.map_err(|_| Status::BadRequest)?.into_inner());
    let wire = CompletionWire::parse(&body).map_err(|_| Status::BadRequest)?;
    let call = wire
        .into_call(body.clone())
        .map_err(|_| Status::BadRequest)?;
    let tokens = answer_tokens(&body, call.answer_max_tokens);
    let events = events(headers, tokens, call.prompt_tokens, Arc::clone(state));
    let bytes = events.map(|event| io::Cursor::new(event_body::encode(event)));
    Ok((ContentType::EventStream, ReaderStream::from(bytes.boxed())))
}

fn events(
    headers: EngineHeaders,
    tokens: Vec<String>,
    prompt_tokens: u64,
    state: Arc<EngineState>,
) -> impl Stream<Item = AnswerEvent> + Send + 'static {
    let count = u64::try_from(tokens.len()).unwrap_or(u64::MAX);
    let usage = Usage {
        prompt_tokens,
        cached_tokens: 0,
        answer_tokens: count,
    };
    let chunks = tokens
        .into_iter()
        .map(|token| AnswerPayload::Chunk(Bytes::from(token)));
    let payloads = chunks.chain([AnswerPayload::End(usage)]);
    let events = (0..)
        .zip(payloads)
        .map(move |(offset, payload)| AnswerEvent {
            request_id: headers.request_id,
            offset,
            payload,
        });
    let wanted = events.skip(usize::try_from(headers.resume_offset).unwrap_or(usize::MAX));
    stream::iter(wanted).then(move |event| {
        let time_per_token = state.options.time_per_token;
        async move {
            tokio::time::sleep(time_per_token).await;
            event
        }
    })
}
