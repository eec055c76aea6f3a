//! Stand-ins of endpoints, calls to them and the outcome of their answers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use figramp::catalog::Endpoint;
use figramp::catalog::EndpointKind;
use figramp::catalog::WorkClass;
use figramp::endpoint::EndpointCall;
use figramp::endpoint::HttpEndpointClient;
use figramp::errors::GatewayError;
use figramp::request::AnswerPayload;
use figramp::request::AnswerStream;
use figramp::request::CallBody;
use figramp::request::CompletionCall;
use figramp::request::HttpMethod;
use figramp::request::RequestId;
use figramp::request::ServiceCall;
use figramp::stand_in::engine::answer_tokens;
use figramp::stand_in::engine::EngineOptions;
use figramp::stand_in::engine::EngineServer;
use futures::StreamExt;
use tokio::time::timeout;

use crate::caller::support::endpoint;

pub const BODY: &str =
    r#"{"model":"advice","max_tokens":5,"messages":[{"role":"user","content":"hi"}]}"#;
/// The timeouts of calls whose answer falls silent, and of all others.
const SHORT_TIMEOUT: Duration = Duration::from_millis(500);
const LONG_TIMEOUT: Duration = Duration::from_secs(10);
/// A test fails if an event or an error takes longer.
const EVENT_TIMEOUT: Duration = Duration::from_secs(15);

fn engine_at(address: SocketAddr) -> Endpoint {
    endpoint(EndpointKind::Engine, address)
}

pub async fn launch_engine(options: EngineOptions) -> (EngineServer, Endpoint, HttpEndpointClient) {
    let engine = EngineServer::launch(options).await.unwrap();
    let endpoint = engine_at(engine.address());
    (engine, endpoint, HttpEndpointClient::new())
}

pub fn service_at(address: SocketAddr) -> Endpoint {
    endpoint(EndpointKind::Service, address)
}

pub fn completion() -> EndpointCall {
    call(CallBody::Completion(CompletionCall {
        body: Bytes::from(BODY),
        prompt_tokens: 5,
        answer_max_tokens: 5,
        is_answer_length_unset: false,
        is_stream: true,
        prefix_hashes: Vec::new(),
    }))
}

pub fn service_call(method: HttpMethod, body: &'static str) -> EndpointCall {
    call(CallBody::Service(ServiceCall {
        method,
        path_and_query: "/bookings?day=1".to_owned(),
        content_type: Some("text/plain".to_owned()),
        body: Bytes::from(body),
    }))
}

fn call(body: CallBody) -> EndpointCall {
    EndpointCall {
        request_id: RequestId(0xfeed),
        body,
        class: WorkClass::Interactive,
        resume_offset: 0,
        first_event_timeout: LONG_TIMEOUT,
        silence_timeout: LONG_TIMEOUT,
        remaining: Duration::from_secs(60),
    }
}

/// Shortens the timeouts of a call that is expected to fall silent.
pub fn short_timeouts(call: EndpointCall) -> EndpointCall {
    EndpointCall {
        first_event_timeout: SHORT_TIMEOUT,
        silence_timeout: SHORT_TIMEOUT,
        ..call
    }
}

/// The events of an answer, collected.
#[derive(Debug)]
pub struct Outcome {
    pub status: Option<u16>,
    pub text: String,
    /// `Ok` if the end mark was received, or else the error that ended the answer.
    pub end: Result<(), GatewayError>,
}

pub async fn outcome(answer: Result<AnswerStream, GatewayError>) -> Outcome {
    let mut outcome = Outcome {
        status: None,
        text: String::new(),
        end: Ok(()),
    };
    let mut events = match answer {
        Ok(events) => events,
        Err(error) => {
            outcome.end = Err(error);
            return outcome;
        }
    };
    let mut is_ended = false;
    while let Some(event) = timeout(EVENT_TIMEOUT, events.next()).await.unwrap() {
        assert!(!is_ended, "an event after the end");
        match event.map(|event| event.payload) {
            Ok(AnswerPayload::Head { status, .. }) => outcome.status = Some(status),
            Ok(AnswerPayload::Chunk(bytes)) => {
                outcome.text.push_str(std::str::from_utf8(&bytes).unwrap());
            }
            Ok(AnswerPayload::KeepAlive) => {}
            Ok(AnswerPayload::End(_)) => is_ended = true,
            Err(error) => {
                outcome.end = Err(error);
                is_ended = true;
            }
        }
    }
    assert!(is_ended, "neither an end mark nor an error");
    outcome
}

pub fn complete_text() -> String {
    answer_tokens(BODY, 5).concat()
}
