//! A gateway over one fixed endpoint, and servers around it.

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
use figramp::request::CallBody;
use figramp::request::IncomingCall;
use figramp::stand_in::engine::EngineOptions;
use figramp::stand_in::engine::EngineServer;
use figramp::stand_in::service::ServiceOptions;
use figramp::stand_in::service::ServiceServer;
use futures::stream;
use futures::StreamExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

pub const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
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

/// What a scripted answer does after its events.
#[derive(Clone, Copy, PartialEq)]
pub enum Then {
    Fail,
    Stop,
    Hang,
    /// Large chunks without end.
    Flood,
}

/// Answers every call with the same events.
pub struct ScriptedGateway {
    pub events: Vec<AnswerPayload>,
    pub then: Then,
    /// Completes when a call has come.
    pub called: CancellationToken,
    /// Completes when the answer is dropped.
    pub dropped: CancellationToken,
}

impl ScriptedGateway {
    pub fn new(tokens: &[&'static str], then: Then) -> Self {
        let chunks = tokens
            .iter()
            .map(|token| AnswerPayload::Chunk(Bytes::from(*token)));
        Self {
            events: chunks.collect(),
            then,
            called: CancellationToken::new(),
            dropped: CancellationToken::new(),
        }
    }
}

#[async_trait]
impl Gateway for ScriptedGateway {
    async fn call(&self, call: IncomingCall) -> Result<AnswerStream, GatewayError> {
        self.called.cancel();
        let guard = self.dropped.clone().drop_guard();
        let events = (0..)
            .zip(self.events.clone())
            .map(move |(offset, payload)| {
                Ok(AnswerEvent {
                    request_id: call.id,
                    offset,
                    payload,
                })
            });
        let failure = GatewayError::new(ErrorKind::AnswerSilent, "silent");
        let end: AnswerStream = match self.then {
            Then::Fail => Box::pin(stream::iter([Err(failure)])),
            Then::Stop => Box::pin(stream::empty()),
            Then::Hang => Box::pin(stream::pending()),
            Then::Flood => Box::pin(stream::repeat_with(move || {
                Ok(AnswerEvent {
                    request_id: call.id,
                    offset: 0,
                    payload: AnswerPayload::Chunk(Bytes::from(vec![b'x'; 100_000])),
                })
            })),
        };
        let answer = stream::iter(events).chain(end).map(move |event| {
            let _ = &guard;
            event
        });
        Ok(Box::pin(answer))
    }

    fn entries(&self, _key_digest: Option<KeyDigest>) -> EntryList {
        EntryList {
            entries: Vec::new(),
            time_to_live: Duration::ZERO,
        }
    }

    fn models(&self, _key_digest: Option<KeyDigest>) -> Result<ModelList, GatewayError> {
        Ok(ModelList { models: Vec::new() })
    }
}

/// Sends every call to one endpoint; the key `withdrawn` is refused.
pub struct FixedGateway {
    pub endpoint: Endpoint,
    pub client: HttpEndpointClient,
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
        let class = match &call.body {
            CallBody::Completion(_) => WorkClass::Interactive,
            CallBody::Service(_) => WorkClass::Long,
        };
        let call = EndpointCall {
            request_id: call.id,
            body: call.body,
            class,
            resume_offset: 0,
            first_event_timeout: Duration::from_secs(5),
            silence_timeout: Duration::from_secs(5),
            remaining: Duration::from_secs(30),
        };
        self.client.call(&self.endpoint, call).await
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

/// The longest body that the servers of tests accept.
pub const BODY_MAX_BYTES: u64 = 2_000;

pub async fn launch_caller_server(gateway: impl Gateway + 'static) -> CallerServer {
    let clock = Arc::new(SystemClock::new());
    let limits = CallerLimits {
        body_max_bytes: BODY_MAX_BYTES,
        write_timeout: Duration::from_secs(1),
        ..CallerLimits::default()
    };
    CallerServer::launch(LOOPBACK, Arc::new(gateway), clock, limits)
        .await
        .unwrap()
}

pub async fn launch_service_and_gateway() -> (ServiceServer, CallerServer) {
    let service = ServiceServer::launch(ServiceOptions::default())
        .await
        .unwrap();
    let gateway = FixedGateway {
        endpoint: endpoint(EndpointKind::Service, service.address()),
        client: HttpEndpointClient::new(),
    };
    (service, launch_caller_server(gateway).await)
}

pub async fn launch_engine_and_gateway(options: EngineOptions) -> (EngineServer, CallerServer) {
    let engine = EngineServer::launch(options).await.unwrap();
    let gateway = FixedGateway {
        endpoint: endpoint(EndpointKind::Engine, engine.address()),
        client: HttpEndpointClient::new(),
    };
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

/// Reads until the other side closes; a test that never sees that fails by its time limit.
pub async fn read_to_close(socket: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let reading = socket.read_to_end(&mut bytes);
    let _ = tokio::time::timeout(Duration::from_secs(10), reading)
        .await
        .unwrap();
    String::from_utf8(bytes).unwrap()
}
