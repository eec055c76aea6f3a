//! A stand-in endpoint that sends each refusal twice.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use figramp::endpoint::EngineEventWire;
use figramp::endpoint::LoadReport;
use figramp::endpoint::LoadReportWire;
use figramp::endpoint::ATTEMPT_HEADER;
use figramp::endpoint::REQUEST_ID_HEADER;
use figramp::endpoint::RUN_STATE_HEADER;
use figramp::errors::RunState;
use figramp::request::AnswerEvent;
use figramp::request::AnswerPayload;
use figramp::request::RequestId;
use figramp::request::Usage;
use parking_lot::Mutex;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::caller::support::LOOPBACK;

const CANCEL_PATH: &str = "/v1/cancel/";
const LOAD_PATH: &str = "/v1/load?after=";
const ORDERS_PATH: &str = "/v1/orders";
const FENCED: &str = r#"{"highest":7}"#;

/// An endpoint that sends each refusal twice, the second time where the answer to the next request
/// of the connection is due; from then on, each answer of the connection is one request late.
pub struct CopyingEndpoint {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// What the endpoint does and has seen.
#[derive(Clone, Default)]
pub struct State {
    pub is_refusing: bool,
    pub is_fencing: bool,
    /// Whether answers name the attempt.
    pub is_naming: bool,
    /// The attempts that ran.
    pub runs: Vec<String>,
    /// The paths of the cancellations.
    pub cancels: Vec<String>,
    /// The number of copies sent.
    pub copies: usize,
}

struct RawRequest {
    path: String,
    request_id: RequestId,
    attempt: String,
}

impl CopyingEndpoint {
    pub async fn launch(is_naming: bool) -> Self {
        let listener = TcpListener::bind(LOOPBACK).await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State {
            is_naming,
            ..State::default()
        }));
        let of_listener = Arc::clone(&state);
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(serve(socket, Arc::clone(&of_listener)));
            }
        });
        Self { address, state }
    }

    pub fn set_refusing(&self, is_refusing: bool) {
        self.state.lock().is_refusing = is_refusing;
    }

    pub fn start_fencing(&self) {
        self.state.lock().is_fencing = true;
    }

    pub fn stop_naming(&self) {
        self.state.lock().is_naming = false;
    }

    pub fn state(&self) -> State {
        self.state.lock().clone()
    }
}

async fn serve(mut socket: TcpStream, state: Arc<Mutex<State>>) -> io::Result<()> {
    let mut late_answer: Option<String> = None;
    loop {
        let request = RawRequest::read(&mut socket).await?;
        let (answer, is_refusal) = state.lock().answer_to(&request);
        let sent = match late_answer.take() {
            Some(late) => {
                late_answer = Some(answer);
                state.lock().copies += 1;
                late
            }
            None => {
                late_answer = is_refusal.then(|| answer.clone());
                answer
            }
        };
        socket.write_all(sent.as_bytes()).await?;
    }
}

impl State {
    fn answer_to(&mut self, request: &RawRequest) -> (String, bool) {
        let mut head = String::new();
        if self.is_naming {
            head = format!("{ATTEMPT_HEADER}: {}\r\n", request.attempt);
        }
        if let Some(cancelled) = request.path.strip_prefix(CANCEL_PATH) {
            self.cancels.push(cancelled.to_owned());
            return (raw_answer("200 OK", &head, ""), false);
        }
        if self.is_refusing {
            let run = RunState::NotRun.as_str();
            head += &format!("{RUN_STATE_HEADER}: {run}\r\n");
            return (raw_answer("503 Service Unavailable", &head, ""), true);
        }
        if request.path == ORDERS_PATH {
            let (status, body) = match self.is_fencing {
                true => ("409 Conflict", FENCED),
                false => ("200 OK", ""),
            };
            return (raw_answer(status, &head, body), false);
        }
        if let Some(after) = request.path.strip_prefix(LOAD_PATH) {
            let report = LoadReport {
                cache_sequence: after.parse().unwrap(),
                ..LoadReport::default()
            };
            let body = serde_json::to_string(&LoadReportWire::from(report)).unwrap();
            return (raw_answer("200 OK", &head, &body), false);
        }
        self.runs.push(request.attempt.clone());
        let body = match request.path.as_str() {
            "/v1/chat/completions" => completion_events(request.request_id),
            path => path.to_owned(),
        };
        (raw_answer("200 OK", &head, &body), false)
    }
}

impl RawRequest {
    async fn read(socket: &mut TcpStream) -> io::Result<Self> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(socket.read_u8().await?);
        }
        let head = String::from_utf8(head).unwrap();
        let header = |name: &str| {
            let lines = head.lines().filter_map(|line| line.split_once(": "));
            let mut values = lines.filter(|(other, _)| other.eq_ignore_ascii_case(name));
            values.next().map(|(_, value)| value).unwrap_or_default()
        };
        let mut body = vec![0; header("content-length").parse().unwrap_or(0)];
        socket.read_exact(&mut body).await?;
        Ok(Self {
            path: head.split(' ').nth(1).unwrap().to_owned(),
            request_id: RequestId::from_hex(header(REQUEST_ID_HEADER)).unwrap_or(RequestId(0)),
            attempt: header(ATTEMPT_HEADER).to_owned(),
        })
    }
}

fn raw_answer(status: &str, head: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{head}content-length: {length}\r\n\r\n{body}")
}

/// Returns the events of an answer of one chunk.
fn completion_events(request_id: RequestId) -> String {
    let chunk = AnswerPayload::Chunk(Bytes::from_static(b"whole"));
    let end = AnswerPayload::End(Usage::default());
    let events = [chunk, end].into_iter().zip(0..);
    let events = events.map(|(payload, offset)| {
        let event = AnswerEvent {
            request_id,
            offset,
            payload,
        };
        let wire = serde_json::to_string(&EngineEventWire::from(event)).unwrap();
        format!("data: {wire}\n\n")
    });
    events.collect()
}
