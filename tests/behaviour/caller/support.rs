//! A gateway over one fixed endpoint, and servers around it.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
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
use figramp::request::AnswerStream;
use figramp::request::CallBody;
use figramp::request::IncomingCall;
use figramp::stand_in::engine::EngineOptions;
use figramp::stand_in::engine::EngineServer;

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

pub async fn launch_caller_server(gateway: impl Gateway + 'static) -> CallerServer {
    let clock = Arc::new(SystemClock::new());
    CallerServer::launch(LOOPBACK, Arc::new(gateway), clock, CallerLimits::default())
        .await
        .unwrap()
}

pub async fn launch_engine_and_gateway(options: EngineOptions) -> (EngineServer, CallerServer) {
    let engine = EngineServer::launch(options).await.unwrap();
    let gateway = FixedGateway {
        endpoint: endpoint(EndpointKind::Engine, engine.address()),
        client: HttpEndpointClient::new(),
    };
    (engine, launch_caller_server(gateway).await)
}
