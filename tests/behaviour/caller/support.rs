//! A gateway with one fixed endpoint or script, and servers that use it.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use figramp::caller::CallerLimits;
use figramp::caller::CallerServer;
use figramp::caller::EntryAnswer;
use figramp::caller::EntryList;
use figramp::caller::Gateway;
use figramp::caller::ModelList;
use figramp::catalog::AvailabilityZoneKey;
use figramp::catalog::Endpoint;
use figramp::catalog::EndpointKind;
use figramp::catalog::EndpointRole;
use figramp::catalog::KeyDigest;
use figramp::catalog::Name;
use figramp::catalog::RegionKey;
use figramp::catalog::ServiceState;
use figramp::catalog::WorkClass;
use figramp::clock::SystemClock;
use figramp::endpoint::EndpointCall;
use figramp::endpoint::EndpointClient;
use figramp::endpoint::HttpEndpointClient;
use figramp::errors::ErrorKind;
use figramp::errors::GatewayError;
use figramp::request::AnswerEvent;
use figramp::request::AnswerPayload;
use figramp::request::AnswerStream;
use figramp::request::IncomingCall;
use figramp::request::RequestId;
use figramp::stand_in::engine::EngineOptions;
use figramp::stand_in::engine::EngineServer;
use figramp::stand_in::service::ServiceOptions;
use figramp::stand_in::service::ServiceServer;
use futures::stream;
use futures::StreamExt;
use serde::de::DeserializeOwned;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

pub const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// Parses faults in the form of the stand-ins' control interface.
pub fn faults<T: DeserializeOwned>(json: &str) -> T {
    serde_json::from_str(json).unwrap()
}

pub fn endpoint(kind: EndpointKind, address: SocketAddr) -> Endpoint {
    Endpoint {
        name: name("endpoint-1"),
        kind,
        role: EndpointRole::Full,
        address,
        region: RegionKey::default(),
        availability_zone: AvailabilityZoneKey::default(),
        routes: Vec::new(),
        state: ServiceState::Active,
        concurrency: 16,
        checks_fencing: true,
    }
}

/// How a scripted answer goes on after its chunks.
#[derive(Clone, Copy)]
pub enum Then {
    Fail,
    Stop,
    Hang,
    /// Sends large chunks forever.
    Flood,
}

/// The source of a gateway's answers.
pub enum Source {
    Endpoint(Endpoint, HttpEndpointClient),
    Script(&'static [&'static str], Then),
}

/// Answers every call from one source; refuses the keys `withdrawn` and `busy`.
pub struct FixedGateway {
    source: Source,
    /// Cancelled when a call arrives.
    pub called: CancellationToken,
    /// Cancelled when an answer is dropped.
    pub dropped: CancellationToken,
}

impl FixedGateway {
    pub fn new(source: Source) -> Self {
        Self {
            source,
            called: CancellationToken::new(),
            dropped: CancellationToken::new(),
        }
    }

    pub fn to_endpoint(kind: EndpointKind, address: SocketAddr) -> Self {
        Self::new(Source::Endpoint(
            endpoint(kind, address),
            HttpEndpointClient::new(),
        ))
    }
}

#[async_trait]
impl Gateway for FixedGateway {
    async fn call(&self, call: IncomingCall) -> Result<AnswerStream, GatewayError> {
        if call.key_digest == Some(KeyDigest::of_key("withdrawn")) {
            return Err(GatewayError::new(
                ErrorKind::InvalidKey,
                "the key is not valid",
            ));
        }
        if call.key_digest == Some(KeyDigest::of_key("busy")) {
            return Err(GatewayError::new(ErrorKind::RateLimited, "over the rate")
                .with_retry_after(Duration::from_millis(1_200)));
        }
        self.called.cancel();
        let guard = self.dropped.clone().drop_guard();
        let answer = match &self.source {
            Source::Endpoint(endpoint, client) => {
                client.call(endpoint, endpoint_call(call)).await?
            }
            Source::Script(tokens, then) => scripted_answer(call.id, tokens, *then),
        };
        Ok(Box::pin(answer.map(move |event| {
            let _ = &guard;
            event
        })))
    }

    fn entries(&self, _key_digest: Option<KeyDigest>) -> EntryList {
        EntryList {
            entries: vec![EntryAnswer {
                vm: name("vm-1"),
                region: name("brisbane"),
                address: "127.0.0.2:8080".parse().unwrap(),
            }],
            time_to_live: Duration::from_secs(10),
        }
    }

    fn models(&self, _key_digest: Option<KeyDigest>) -> Result<ModelList, GatewayError> {
        Ok(ModelList {
            models: vec![name("advice"), name("plans")],
        })
    }
}

fn endpoint_call(call: IncomingCall) -> EndpointCall {
    EndpointCall {
        request_id: call.id,
        body: call.body,
        class: WorkClass::Interactive,
        resume_offset: 0,
        first_event_timeout: Duration::from_secs(5),
        silence_timeout: Duration::from_secs(5),
        remaining: Duration::from_secs(30),
    }
}

fn scripted_answer(request_id: RequestId, tokens: &'static [&str], then: Then) -> AnswerStream {
    let chunk = move |(offset, text)| {
        Ok(AnswerEvent {
            request_id,
            offset,
            payload: AnswerPayload::Chunk(Bytes::from(text)),
        })
    };
    let chunks = (0..).zip(tokens.iter().copied().map(str::to_owned));
    let failure = Err(GatewayError::new(ErrorKind::AnswerSilent, "silent"));
    let end: AnswerStream = match then {
        Then::Fail => Box::pin(stream::iter([failure])),
        Then::Stop => Box::pin(stream::empty()),
        Then::Hang => Box::pin(stream::pending()),
        Then::Flood => Box::pin(stream::repeat_with(move || chunk((0, "x".repeat(100_000))))),
    };
    Box::pin(stream::iter(chunks).map(chunk).chain(end))
}

/// The longest body that the test servers accept, in bytes.
pub const BODY_MAX_BYTES: u64 = 2_000;

pub async fn launch_caller_server(gateway: impl Gateway + 'static) -> CallerServer {
    let clock = Arc::new(SystemClock::new());
    let limits = CallerLimits {
        body_max_bytes: BODY_MAX_BYTES,
        read_timeout: Duration::from_secs(1),
        write_timeout: Duration::from_secs(1),
        ..CallerLimits::default()
    };
    CallerServer::launch(LOOPBACK, Arc::new(gateway), clock, limits)
        .await
        .unwrap()
}

pub async fn launch_script(tokens: &'static [&'static str], then: Then) -> CallerServer {
    launch_caller_server(FixedGateway::new(Source::Script(tokens, then))).await
}

pub async fn launch_service_and_gateway() -> (ServiceServer, CallerServer) {
    let service = ServiceServer::launch(ServiceOptions::default())
        .await
        .unwrap();
    let gateway = FixedGateway::to_endpoint(EndpointKind::Service, service.address());
    (service, launch_caller_server(gateway).await)
}

pub async fn launch_engine_and_gateway(options: EngineOptions) -> (EngineServer, CallerServer) {
    let engine = EngineServer::launch(options).await.unwrap();
    let gateway = FixedGateway::to_endpoint(EndpointKind::Engine, engine.address());
    (engine, launch_caller_server(gateway).await)
}

/// Opens a connection and sends a completion request over it.
pub async fn send_raw_completion(address: SocketAddr, is_stream: bool) -> TcpStream {
    let body = format!(
        r#"{{"model":"advice","stream":{is_stream},"messages":[{{"role":"user","content":"hi"}}]}}"#
    );
    let length = body.len();
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: vm\r\ncontent-length: ";
    let mut socket = TcpStream::connect(address).await.unwrap();
    let request = format!("{head}{length}\r\n\r\n{body}");
    socket.write_all(request.as_bytes()).await.unwrap();
    socket
}

/// Reads until the other side closes; panics if that takes longer than 10 s.
pub async fn read_to_close(socket: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let reading = socket.read_to_end(&mut bytes);
    let _ = tokio::time::timeout(Duration::from_secs(10), reading)
        .await
        .unwrap();
    String::from_utf8(bytes).unwrap()
}
