//! VMs on loopback with scripted handlers.

use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use bytes::Bytes;
use figramp::catalog::Catalog;
use figramp::catalog::CatalogBuilder;
use figramp::catalog::Name;
use figramp::catalog::ObjectSpec;
use figramp::catalog::RegionSpec;
use figramp::catalog::Repeatability;
use figramp::catalog::RouteKind;
use figramp::catalog::RouteSpec;
use figramp::catalog::ServiceState;
use figramp::catalog::TicketNumber;
use figramp::catalog::VmKey;
use figramp::catalog::VmSpec;
use figramp::catalog::WorkClass;
use figramp::errors::GatewayError;
use figramp::peer::CapnpPeerLink;
use figramp::peer::ForwardRequest;
use figramp::peer::PeerContext;
use figramp::peer::PeerHandler;
use figramp::peer::PeerMessage;
use figramp::peer::PeerSecret;
use figramp::peer::PeerServer;
use figramp::peer::PeerTimings;
use figramp::request::AnswerEvent;
use figramp::request::AnswerPayload;
use figramp::request::AnswerStream;
use figramp::request::Call;
use figramp::request::CallBody;
use figramp::request::CompletionCall;
use figramp::request::RequestId;
use figramp::request::Usage;
use figramp::request::Visited;
use futures::stream;
use futures::StreamExt;
use tokio::sync::mpsc;
use tokio::time::sleep;

pub const SECRET: &[u8] = b"a secret of 16 bytes or more";
pub const WAIT_MAX: Duration = Duration::from_secs(20);

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub fn secret() -> PeerSecret {
    PeerSecret::new(SECRET).unwrap()
}

/// Returns a catalog of one region, one route and the given VMs.
pub fn catalog(vms: &[(&str, SocketAddr)]) -> Arc<ArcSwap<Catalog>> {
    let region = ObjectSpec::Region(RegionSpec {
        availability_zones: vec![name("zone")],
        links: Vec::new(),
    });
    let route = ObjectSpec::Route(RouteSpec {
        kind: RouteKind::Model,
        is_open: false,
        class: WorkClass::Interactive,
        repeatability: Repeatability::Idempotent,
        deadline_ms: 10_000,
        first_event_timeout_ms: 1_000,
        silence_timeout_ms: 1_000,
        answer_max_tokens: 100,
        call_cost_tokens: 1,
    });
    let mut objects = vec![(name("region"), region), (name("route"), route)];
    for (vm, peer_address) in vms {
        let spec = VmSpec {
            region: name("region"),
            availability_zone: name("zone"),
            caller_address: *peer_address,
            peer_address: *peer_address,
            operator_address: *peer_address,
            state: ServiceState::Active,
        };
        objects.push((name(vm), ObjectSpec::Vm(spec)));
    }
    let objects = objects.iter().map(|(name, spec)| (name, spec));
    let builder = CatalogBuilder::new(&Catalog::default());
    let (catalog, dangling) = builder.build(TicketNumber(1), objects);
    assert!(dangling.is_empty());
    Arc::new(ArcSwap::from_pointee(catalog))
}

pub fn timings() -> PeerTimings {
    PeerTimings {
        connect_timeout: Duration::from_millis(500),
        ping_interval: Duration::from_millis(100),
        ping_timeout: Duration::from_millis(500),
        accepted_silence_timeout: Duration::from_secs(2),
        forward_alive_interval: Duration::from_millis(100),
        forward_silence_timeout: Duration::from_secs(1),
        ..PeerTimings::default()
    }
}

pub fn context(
    local_name: &str,
    catalog: &Arc<ArcSwap<Catalog>>,
    timings: PeerTimings,
) -> Arc<PeerContext> {
    let mut context = PeerContext::new(name(local_name), secret(), catalog.clone());
    context.timings = timings;
    Arc::new(context)
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// What a scripted handler does with a forwarded call.
#[derive(Clone)]
pub enum Script {
    Refuse(GatewayError),
    /// Sends this many chunks and the end mark.
    Answer(u64),
    /// Sends chunks without end.
    Endless,
    /// Sends one chunk and then nothing.
    Stall,
}

/// Answers calls by its script and records the messages and calls that it receives.
pub struct ScriptedHandler {
    pub script: Script,
    pub messages: mpsc::UnboundedSender<PeerMessage>,
    pub requests: mpsc::UnboundedSender<ForwardRequest>,
    /// The answers that are still being produced.
    pub running: Arc<AtomicUsize>,
}

struct RunningGuard(Arc<AtomicUsize>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

#[async_trait]
impl PeerHandler for ScriptedHandler {
    fn on_message(&self, _from: VmKey, message: PeerMessage) {
        let _ = self.messages.send(message);
    }

    fn on_seed_message(&self, _from: Name, message: PeerMessage) {
        let _ = self.messages.send(message);
    }

    async fn on_forward(
        &self,
        _from: VmKey,
        request: ForwardRequest,
    ) -> Result<AnswerStream, GatewayError> {
        let id = request.call.id;
        let _ = self.requests.send(request);
        self.running.fetch_add(1, Ordering::SeqCst);
        let guard = RunningGuard(self.running.clone());
        let events: AnswerStream = match &self.script {
            Script::Refuse(error) => return Err(error.clone()),
            Script::Answer(count) => Box::pin(stream::iter(whole_answer(id, *count)).map(Ok)),
            Script::Endless => Box::pin(stream::iter((0..).map(move |at| Ok(chunk(id, at))))),
            Script::Stall => {
                let first = stream::iter([Ok(chunk(id, 0))]);
                Box::pin(first.chain(stream::pending()))
            }
        };
        Ok(Box::pin(events.inspect(move |_| {
            let _ = &guard;
        })))
    }
}

pub fn chunk(request_id: RequestId, offset: u64) -> AnswerEvent {
    AnswerEvent {
        request_id,
        offset,
        payload: AnswerPayload::Chunk(Bytes::from(format!("token {offset} "))),
    }
}

pub fn whole_answer(request_id: RequestId, count: u64) -> Vec<AnswerEvent> {
    let end = AnswerEvent {
        request_id,
        offset: count,
        payload: AnswerPayload::End(Usage {
            prompt_tokens: 3,
            cached_tokens: 1,
            answer_tokens: count,
        }),
    };
    let chunks = (0..count).map(|offset| chunk(request_id, offset));
    chunks.chain([end]).collect()
}

/// A VM with a scripted handler, and the link of another VM to it.
pub struct Pair {
    pub catalog: Arc<ArcSwap<Catalog>>,
    pub server: PeerServer,
    pub server_context: Arc<PeerContext>,
    pub link: CapnpPeerLink,
    pub link_context: Arc<PeerContext>,
    pub serving: VmKey,
    pub messages: mpsc::UnboundedReceiver<PeerMessage>,
    pub requests: mpsc::UnboundedReceiver<ForwardRequest>,
    pub running: Arc<AtomicUsize>,
}

pub fn scripted(
    script: Script,
) -> (
    Arc<ScriptedHandler>,
    mpsc::UnboundedReceiver<PeerMessage>,
    mpsc::UnboundedReceiver<ForwardRequest>,
) {
    let (messages, messages_receiver) = mpsc::unbounded_channel();
    let (requests, requests_receiver) = mpsc::unbounded_channel();
    let handler = ScriptedHandler {
        script,
        messages,
        requests,
        running: Arc::default(),
    };
    (Arc::new(handler), messages_receiver, requests_receiver)
}

/// Starts a pair whose dialer connects to the address that `address_of` returns for the server's.
pub fn pair_through(
    script: Script,
    timings: PeerTimings,
    address_of: impl Fn(SocketAddr) -> SocketAddr,
) -> Pair {
    let (handler, messages, requests) = scripted(script);
    let running = handler.running.clone();
    let first = catalog(&[("dialer", loopback()), ("server", loopback())]);
    let server_context = context("server", &first, timings);
    let server = PeerServer::launch(loopback(), server_context.clone(), handler).unwrap();
    let reached = address_of(server.address());
    let catalog = catalog(&[("dialer", loopback()), ("server", reached)]);
    let link_context = context("dialer", &catalog, timings);
    let serving = catalog.load().vm_named(&name("server")).unwrap();
    Pair {
        link: CapnpPeerLink::launch(link_context.clone()).unwrap(),
        catalog,
        server,
        server_context,
        link_context,
        serving,
        messages,
        requests,
        running,
    }
}

pub fn pair(script: Script) -> Pair {
    pair_through(script, timings(), |address| address)
}

pub fn forward_request(catalog: &Catalog) -> ForwardRequest {
    let mut visited = Visited::default();
    let vm = catalog.vm_named(&name("dialer")).unwrap();
    visited.push(vm, catalog.vms[vm].region);
    ForwardRequest {
        call: Call {
            id: RequestId(rand::random()),
            key_digest: None,
            client_account: None,
            route: catalog.route_named(&name("route")).unwrap(),
            repeatability: Repeatability::Idempotent,
            body: CallBody::Completion(CompletionCall {
                body: Bytes::from_static(b"{}"),
                prompt_tokens: 3,
                answer_max_tokens: 100,
                is_answer_length_unset: false,
                is_stream: true,
                prefix_hashes: vec![1, 2],
            }),
            idempotency_key: None,
            reserved_tokens: 103,
            remaining: Duration::from_secs(10),
            visited,
        },
        preferred_endpoint: None,
    }
}

/// Waits until `is_met` returns true; `what` names the condition in the failure message.
pub async fn wait_for(what: &str, is_met: impl Fn() -> bool) {
    let waiting = async {
        while !is_met() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_MAX, waiting).await;
    assert!(waited.is_ok(), "timed out waiting for {what}");
}
