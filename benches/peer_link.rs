//! Measures the cost of forwards and control messages between two VMs on loopback: time, and bytes
//! on the wire.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use bytes::Bytes;
use criterion::criterion_group;
use criterion::criterion_main;
use criterion::Criterion;
use criterion::Throughput;
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
use figramp::configuration::ConfigurationMessage;
use figramp::configuration::ReplyMode;
use figramp::configuration::RootDigest;
use figramp::configuration::SenderPhase;
use figramp::configuration::Summary;
use figramp::errors::GatewayError;
use figramp::peer::CapnpPeerLink;
use figramp::peer::ConnectionPurpose;
use figramp::peer::ForwardRequest;
use figramp::peer::MessageKind;
use figramp::peer::PeerContext;
use figramp::peer::PeerHandler;
use figramp::peer::PeerLink;
use figramp::peer::PeerMessage;
use figramp::peer::PeerSecret;
use figramp::peer::PeerServer;
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
use tokio::runtime::Runtime;
use tokio::sync::mpsc;

const READY_TOKENS: u64 = 10_000;
const PACED_TOKENS: u64 = 500;
const OPEN_ANSWERS: u64 = 64;
const CONTROL_MESSAGES: u64 = 1_000;

/// Answers with the events that the benchmark sends in, or else with a whole answer at once.
struct BenchHandler {
    paced: Mutex<Option<mpsc::UnboundedReceiver<AnswerEvent>>>,
    messages: mpsc::UnboundedSender<()>,
}

#[async_trait]
impl PeerHandler for BenchHandler {
    fn on_message(&self, _from: VmKey, _message: PeerMessage) {
        let _ = self.messages.send(());
    }

    async fn on_forward(
        &self,
        _from: VmKey,
        request: ForwardRequest,
    ) -> Result<AnswerStream, GatewayError> {
        let id = request.call.id;
        let CallBody::Completion(call) = &request.call.body else {
            return Ok(Box::pin(stream::empty()));
        };
        let count = call.answer_max_tokens;
        let paced = self.paced.lock().expect("no holder panics").take();
        Ok(match paced {
            Some(events) => Box::pin(stream::unfold(events, |mut events| async move {
                events.recv().await.map(|event| (Ok(event), events))
            })),
            None => Box::pin(stream::iter(
                (0..=count).map(move |at| Ok(event(id, at, count))),
            )),
        })
    }
}

fn event(request_id: RequestId, offset: u64, count: u64) -> AnswerEvent {
    let payload = if offset < count {
        AnswerPayload::Chunk(Bytes::from_static(b" token"))
    } else {
        AnswerPayload::End(Usage::default())
    };
    AnswerEvent {
        request_id,
        offset,
        payload,
    }
}

/// Two VMs on loopback.
struct Bench {
    runtime: Runtime,
    catalog: Arc<ArcSwap<Catalog>>,
    handler: Arc<BenchHandler>,
    link: CapnpPeerLink,
    link_context: Arc<PeerContext>,
    server_context: Arc<PeerContext>,
    messages: mpsc::UnboundedReceiver<()>,
    _server: PeerServer,
}

impl Bench {
    fn new() -> Self {
        let runtime = Runtime::new().expect("a runtime starts");
        let _entered = runtime.enter();
        let (sender, messages) = mpsc::unbounded_channel();
        let handler = Arc::new(BenchHandler {
            paced: Mutex::new(None),
            messages: sender,
        });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let catalog = Arc::new(ArcSwap::from_pointee(catalog(any)));
        let server_context = context("server", &catalog);
        let server = PeerServer::launch(any, server_context.clone(), handler.clone());
        let server = server.expect("the loopback address is free");
        catalog.store(Arc::new(self::catalog(server.address())));
        let link_context = context("dialer", &catalog);
        let link = CapnpPeerLink::launch(link_context.clone()).expect("a thread starts");
        drop(_entered);
        Self {
            runtime,
            catalog,
            handler,
            link,
            link_context,
            server_context,
            messages,
            _server: server,
        }
    }

    fn request(&self, answer_max_tokens: u64) -> ForwardRequest {
        let catalog = self.catalog.load();
        let vm = catalog.vm_named(&name("dialer")).expect("it is published");
        let mut visited = Visited::default();
        visited.push(vm, catalog.vms[vm].region);
        ForwardRequest {
            call: Call {
                id: RequestId(rand::random()),
                key_digest: None,
                client_account: None,
                route: catalog
                    .route_named(&name("route"))
                    .expect("it is published"),
                repeatability: Repeatability::Idempotent,
                body: CallBody::Completion(CompletionCall {
                    body: Bytes::from(vec![b'x'; 2_000]),
                    prompt_tokens: 500,
                    answer_max_tokens,
                    is_answer_length_unset: false,
                    is_stream: true,
                    prefix_hashes: vec![1, 2, 3, 4],
                }),
                idempotency_key: None,
                reserved_tokens: 600,
                remaining: Duration::from_secs(60),
                visited,
            },
            preferred_endpoint: None,
        }
    }

    fn server_key(&self) -> VmKey {
        let catalog = self.catalog.load();
        catalog.vm_named(&name("server")).expect("it is published")
    }

    async fn forward(&self, request: ForwardRequest) -> AnswerStream {
        let answer = self.link.forward(self.server_key(), request).await;
        answer.expect("the server accepts")
    }

    fn whole_answer(&self, tokens: u64) -> u64 {
        self.runtime.block_on(async {
            let answer = self.forward(self.request(tokens)).await;
            let events = answer.map(|event| event.expect("the answer is whole"));
            u64::try_from(events.count().await).unwrap_or(0)
        })
    }

    /// Sends tokens one by one, each after the previous one has arrived; returns the total time.
    fn paced_answer(&self, tokens: u64) -> Duration {
        self.runtime.block_on(async {
            let (sender, events) = mpsc::unbounded_channel();
            *self.handler.paced.lock().expect("no holder panics") = Some(events);
            let request = self.request(tokens);
            let id = request.call.id;
            let mut answer = self.forward(request).await;
            let start = Instant::now();
            for offset in 0..tokens {
                let _ = sender.send(event(id, offset, tokens));
                answer.next().await;
            }
            let elapsed = start.elapsed();
            let _ = sender.send(event(id, tokens, tokens));
            answer.next().await;
            elapsed
        })
    }

    /// Sends tokens on many concurrent answers, one by one on each.
    fn paced_answers(&self, answers: u64, tokens: u64) {
        self.runtime.block_on(async {
            let mut open = Vec::new();
            for _ in 0..answers {
                let (sender, events) = mpsc::unbounded_channel();
                *self.handler.paced.lock().expect("no holder panics") = Some(events);
                let request = self.request(tokens);
                let id = request.call.id;
                open.push((sender, id, self.forward(request).await));
            }
            let readers = open.into_iter().map(|(sender, id, mut answer)| {
                tokio::spawn(async move {
                    for offset in 0..=tokens {
                        let _ = sender.send(event(id, offset, tokens));
                        answer.next().await;
                    }
                })
            });
            futures::future::join_all(readers).await;
        });
    }

    fn control(&mut self, messages: u64) {
        let server_key = self.server_key();
        for ticket in 0..messages {
            self.link.send(server_key, summary(ticket));
            let received = &mut self.messages;
            self.runtime.block_on(async { received.recv().await });
        }
    }

    /// Returns the bytes on the wire in both directions, as counted by the dialing VM.
    fn wire_bytes(&self, purpose: ConnectionPurpose) -> u64 {
        let counters = &self.link_context.counters;
        counters.wire_sent_bytes(purpose) + counters.wire_received_bytes(purpose)
    }
}

fn summary(ticket: u64) -> PeerMessage {
    PeerMessage::Configuration(ConfigurationMessage::Summary(Summary {
        root: RootDigest(7),
        ticket: TicketNumber(ticket),
        phase: SenderPhase::Ready,
        reply: ReplyMode::NotWanted,
    }))
}

fn name(text: &str) -> Name {
    Name::new(text).expect("the name is valid")
}

fn context(local_vm: &str, catalog: &Arc<ArcSwap<Catalog>>) -> Arc<PeerContext> {
    let secret = PeerSecret::new(*b"a secret of some length").expect("it is long enough");
    Arc::new(PeerContext::new(name(local_vm), secret, catalog.clone()))
}

fn catalog(server: SocketAddr) -> Catalog {
    let region = ObjectSpec::Region(RegionSpec {
        availability_zones: vec![name("zone")],
        links: Vec::new(),
    });
    let route = ObjectSpec::Route(RouteSpec {
        kind: RouteKind::Model,
        is_open: true,
        class: WorkClass::Interactive,
        repeatability: Repeatability::Idempotent,
        deadline_ms: 60_000,
        first_event_timeout_ms: 1_000,
        silence_timeout_ms: 1_000,
        answer_max_tokens: READY_TOKENS,
        call_cost_tokens: 1,
    });
    let vm = |peer_address| {
        ObjectSpec::Vm(VmSpec {
            region: name("region"),
            availability_zone: name("zone"),
            caller_address: peer_address,
            peer_address,
            operator_address: peer_address,
            state: ServiceState::Active,
        })
    };
    let objects = [
        (name("region"), region),
        (name("route"), route),
        (name("dialer"), vm(server)),
        (name("server"), vm(server)),
    ];
    let objects = objects.iter().map(|(name, spec)| (name, spec));
    CatalogBuilder::new(&Catalog::default())
        .build(TicketNumber(1), objects)
        .0
}

/// Prints the bytes that the counters show for known traffic.
fn print_bytes(bench: &mut Bench) {
    let forward = ConnectionPurpose::Forward;
    bench.whole_answer(1);
    let before = bench.wire_bytes(forward);
    bench.whole_answer(0);
    let call = bench.wire_bytes(forward) - before;
    let before = bench.wire_bytes(forward);
    bench.whole_answer(READY_TOKENS);
    let ready = bench.wire_bytes(forward) - before - call;
    let before = bench.wire_bytes(forward);
    bench.paced_answer(PACED_TOKENS);
    let paced = bench.wire_bytes(forward) - before - call;
    bench.control(1);
    let before = bench.wire_bytes(ConnectionPurpose::Control);
    bench.control(CONTROL_MESSAGES);
    let control = bench.wire_bytes(ConnectionPurpose::Control) - before;
    let batches = bench.server_context.counters.sent(MessageKind::Answer);
    println!("forwarded call with a body of 2,000 bytes and its empty answer: {call} bytes");
    println!("token, many ready together: {} bytes", ready / READY_TOKENS);
    println!("token, one at a time: {} bytes", paced / PACED_TOKENS);
    println!(
        "control message (summary of the configuration) with its acknowledgement: {} bytes",
        control / CONTROL_MESSAGES
    );
    println!("batches in all: {}", batches.messages);
}

fn peer_link(criterion: &mut Criterion) {
    let mut bench = Bench::new();
    print_bytes(&mut bench);
    let mut group = criterion.benchmark_group("peer_link");
    group.sample_size(20);
    group.bench_function("call_with_one_token", |b| b.iter(|| bench.whole_answer(1)));
    group.throughput(Throughput::Elements(READY_TOKENS));
    group.bench_function("ready_tokens", |b| {
        b.iter(|| bench.whole_answer(READY_TOKENS));
    });
    group.throughput(Throughput::Elements(1));
    group.bench_function("token_crossing", |b| {
        b.iter_custom(|iterations| bench.paced_answer(iterations));
    });
    group.throughput(Throughput::Elements(OPEN_ANSWERS * PACED_TOKENS));
    group.bench_function("tokens_of_64_answers", |b| {
        b.iter(|| bench.paced_answers(OPEN_ANSWERS, PACED_TOKENS));
    });
    group.throughput(Throughput::Elements(1));
    group.bench_function("control_crossing", |b| b.iter(|| bench.control(1)));
    group.finish();
}

criterion_group!(benches, peer_link);
criterion_main!(benches);
