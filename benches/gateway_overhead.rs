//! Measures the overhead of the gateway over direct calls of the stand-in engine.
//!
//! All targets are measured in one process and one run, so their ratios are comparable. "Edges" are
//! the caller server and the endpoint client without the decisions of a VM; "daemon" is a whole VM.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use criterion::Criterion;
use criterion::Throughput;
use figramp::caller::CallerLimits;
use figramp::caller::CallerServer;
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
use figramp::demo::Deployment;
use figramp::demo::DeploymentPlan;
use figramp::endpoint::EndpointCall;
use figramp::endpoint::EndpointClient;
use figramp::endpoint::HttpEndpointClient;
use figramp::errors::GatewayError;
use figramp::request::AnswerStream;
use figramp::request::IncomingCall;
use figramp::stand_in::engine::EngineFaults;
use figramp::stand_in::engine::EngineOptions;
use figramp::stand_in::engine::EngineServer;
use futures::future::join_all;
use futures::StreamExt;
use hdrhistogram::Histogram;
use reqwest::Client;
use reqwest::Response;
use tokio::runtime::Runtime;

const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// The key of a client account of the demo deployment; the engine itself requires none.
const KEY: &str = "key-bloomplan";
const TOKENS_PER_STREAM: usize = 20;
const TIME_PER_TOKEN: Duration = Duration::from_millis(10);
const IDLE_STREAMS: usize = 1_000;
const PAGE_BYTES: u64 = 4_096;

struct DirectGateway {
    endpoint: Endpoint,
    client: HttpEndpointClient,
}

#[async_trait]
impl Gateway for DirectGateway {
    async fn call(&self, call: IncomingCall) -> Result<AnswerStream, GatewayError> {
        let call = EndpointCall {
            request_id: call.id,
            body: call.body,
            class: WorkClass::Interactive,
            resume_offset: 0,
            first_event_timeout: Duration::from_secs(60),
            silence_timeout: Duration::from_secs(60),
            remaining: Duration::from_secs(600),
        };
        self.client.call(&self.endpoint, call).await
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

/// An engine, and a caller server that passes calls to it.
struct Setup {
    engine: EngineServer,
    server: CallerServer,
}

/// Where requests are sent: the engine itself, or a gateway in front of it.
#[derive(Clone)]
struct Target {
    name: &'static str,
    /// The addresses that callers use in turn.
    addresses: Vec<SocketAddr>,
}

impl Target {
    fn new(name: &'static str, addresses: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            name,
            addresses: addresses.into_iter().collect(),
        }
    }

    fn url(&self, caller: usize) -> String {
        let address = self.addresses[caller % self.addresses.len()];
        format!("http://{address}/v1/chat/completions")
    }
}

impl Setup {
    async fn launch(time_per_token: Duration) -> Self {
        let options = EngineOptions {
            concurrency: 100_000,
            prefill_time_per_token: Duration::ZERO,
            time_per_token,
            slowdown_per_request: 0.0,
            ..EngineOptions::default()
        };
        let engine = EngineServer::launch(options)
            .await
            .expect("a loopback port is free");
        let gateway = DirectGateway {
            endpoint: engine_endpoint(engine.address()),
            client: HttpEndpointClient::new(),
        };
        let clock = Arc::new(SystemClock::new());
        let limits = CallerLimits::default();
        let server = CallerServer::launch(LOOPBACK, Arc::new(gateway), clock, limits)
            .await
            .expect("a loopback port is free");
        Self { engine, server }
    }

    fn targets(&self) -> Vec<Target> {
        vec![
            Target::new("direct", [self.engine.address()]),
            Target::new("edges", [self.server.address()]),
        ]
    }
}

fn engine_endpoint(address: SocketAddr) -> Endpoint {
    Endpoint {
        name: Name::new("engine").expect("this is a name"),
        kind: EndpointKind::Engine,
        role: EndpointRole::Full,
        address,
        region: RegionKey::default(),
        availability_zone: AvailabilityZoneKey::default(),
        routes: Vec::new(),
        state: ServiceState::Active,
        concurrency: 100_000,
        checks_fencing: true,
    }
}

async fn post(client: &Client, url: &str, answer_max_tokens: usize) -> Response {
    let body = format!(
        r#"{{"model":"plant-tips","stream":true,"max_tokens":{answer_max_tokens},"messages":[{{"role":"user","content":"hi"}}]}}"#
    );
    let id = format!("{:032x}", rand::random::<u128>());
    let request = client.post(url).header("x-request-id", id);
    let request = request.bearer_auth(KEY).body(body);
    let response = request.send().await.expect("the request is answered");
    assert!(response.status().is_success(), "{}", response.status());
    response
}

/// Times measured at the caller; the histograms hold microseconds.
struct Times {
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    elapsed: Duration,
    requests: usize,
}

impl Times {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("3 digits are possible");
        Self {
            first_token: histogram(),
            between_tokens: histogram(),
            elapsed: Duration::ZERO,
            requests: 0,
        }
    }

    fn add(&mut self, other: &Self) {
        let is_added = self.first_token.add(&other.first_token).is_ok()
            && self.between_tokens.add(&other.between_tokens).is_ok();
        assert!(is_added, "histograms of one kind can be added");
        self.requests += other.requests;
    }
}

fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    let duration_us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    histogram
        .record(duration_us)
        .expect("the histogram grows with its values");
}

async fn read_stream(client: &Client, url: &str, times: &mut Times) {
    let sent_at = Instant::now();
    let mut body = post(client, url, TOKENS_PER_STREAM).await.bytes_stream();
    let mut last_at = None;
    while let Some(bytes) = body.next().await {
        bytes.expect("the answer is whole");
        let now = Instant::now();
        match last_at {
            None => record(&mut times.first_token, now - sent_at),
            Some(last_at) => record(&mut times.between_tokens, now - last_at),
        }
        last_at = Some(now);
    }
    times.requests += 1;
}

async fn read_streams(target: &Target, concurrent: usize, streams_each: usize) -> Times {
    let client = Client::new();
    let started_at = Instant::now();
    let callers = (0..concurrent).map(|caller| {
        let (client, url) = (client.clone(), target.url(caller));
        tokio::spawn(async move {
            let mut times = Times::new();
            for _ in 0..streams_each {
                read_stream(&client, &url, &mut times).await;
            }
            times
        })
    });
    let mut all = Times::new();
    for times in join_all(callers).await {
        all.add(&times.expect("no caller panics"));
    }
    all.elapsed = started_at.elapsed();
    all
}

fn print_head(title: &str, targets: &[Target]) {
    let names = targets.iter().map(|target| format!(" {} |", target.name));
    println!("\n| {title} |{}", names.collect::<String>());
    println!("|---|{}", "---|".repeat(targets.len()));
}

/// Prints a row of figures, each but the first with its ratio to the first.
fn print_row(name: &str, values: &[u64], unit: &str) {
    let first = values[0];
    let cells = values.iter().enumerate().map(|(index, value)| match index {
        0 => format!(" {value} {unit} |"),
        _ => format!(
            " {value} {unit} ({:.2}) |",
            *value as f64 / first.max(1) as f64
        ),
    });
    println!("| {name} |{}", cells.collect::<String>());
}

fn print_percentiles(name: &str, histograms: &[&Histogram<u64>]) {
    for quantile in [0.5, 0.95, 0.99] {
        let name = format!("{name} p{:.0}", quantile * 100.0);
        let values = histograms.iter().map(|all| all.value_at_quantile(quantile));
        print_row(&name, &values.collect::<Vec<u64>>(), "µs");
    }
}

fn requests_per_s(times: &Times) -> u64 {
    (times.requests as f64 / times.elapsed.as_secs_f64()) as u64
}

async fn compare(title: &str, targets: &[Target], concurrent: usize, streams_each: usize) {
    let mut all = Vec::new();
    for target in targets {
        read_streams(target, concurrent, 1).await;
        all.push(read_streams(target, concurrent, streams_each).await);
    }
    print_head(title, targets);
    let rates: Vec<u64> = all.iter().map(requests_per_s).collect();
    print_row("requests a second", &rates, "/s");
    let first: Vec<&Histogram<u64>> = all.iter().map(|times| &times.first_token).collect();
    print_percentiles("first token", &first);
    let between: Vec<&Histogram<u64>> = all.iter().map(|times| &times.between_tokens).collect();
    print_percentiles("between tokens", &between);
}

async fn compare_edges(title: &str, concurrent: usize, streams_each: usize, token: Duration) {
    let setup = Setup::launch(token).await;
    compare(title, &setup.targets(), concurrent, streams_each).await;
}

/// Compares whole VMs in front of one engine with direct calls of that engine.
async fn compare_daemons(title: &str, vm_count: usize, concurrent: usize, streams_each: usize) {
    let mut plan = DeploymentPlan::one_region(vm_count);
    plan.regions[0].engine_count = 1;
    let deployment = Deployment::launch(&plan)
        .await
        .expect("a loopback port is free");
    let vms = deployment.vms.iter().map(|vm| vm.daemon.caller_address());
    let targets = [
        Target::new("direct", [deployment.engines[0].server.address()]),
        Target::new("daemon", vms),
    ];
    compare(title, &targets, concurrent, streams_each).await;
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Returns the memory of one open stream, in bytes, including the parts of its caller and engine.
async fn bytes_per_open_stream(target: &Target) -> u64 {
    let client = Client::new();
    let before = resident_bytes();
    let mut streams = Vec::new();
    for _ in 0..IDLE_STREAMS {
        let mut stream = post(&client, &target.url(0), TOKENS_PER_STREAM)
            .await
            .bytes_stream();
        stream.next().await;
        streams.push(stream);
    }
    let grown = resident_bytes().saturating_sub(before);
    grown / IDLE_STREAMS as u64
}

async fn compare_memory() {
    let setup = Setup::launch(Duration::ZERO).await;
    setup.engine.set_faults(EngineFaults {
        silent_after_chunks: Some(1),
        ..EngineFaults::default()
    });
    let targets = setup.targets();
    let mut values = Vec::new();
    for target in &targets {
        values.push(bytes_per_open_stream(target).await);
    }
    print_head(&format!("{IDLE_STREAMS} open streams"), &targets);
    print_row("memory a stream", &values, "B");
}

fn bench_one_caller(criterion: &mut Criterion, runtime: &Runtime) {
    let setup = runtime.block_on(Setup::launch(Duration::ZERO));
    let mut group = criterion.benchmark_group("one short answer");
    group.throughput(Throughput::Elements(1));
    for target in setup.targets() {
        let client = Client::new();
        let url = target.url(0);
        group.bench_function(target.name, |bencher| {
            bencher.iter(|| {
                runtime.block_on(async { post(&client, &url, 1).await.bytes().await.is_ok() })
            });
        });
    }
    group.finish();
}

fn main() {
    let runtime = Runtime::new().expect("threads can be started");
    let mut criterion = Criterion::default().configure_from_args();
    bench_one_caller(&mut criterion, &runtime);
    criterion.final_summary();
    runtime.block_on(async {
        compare_edges("1 caller, no token time", 1, 500, Duration::ZERO).await;
        compare_edges("64 callers, no token time", 64, 40, Duration::ZERO).await;
        compare_edges("64 callers, 10 ms a token", 64, 10, TIME_PER_TOKEN).await;
        compare_daemons("1 caller, 2 ms a token, 1 VM", 1, 1, 40).await;
        compare_daemons("8 callers, 2 ms a token, 1 VM", 1, 8, 20).await;
        compare_daemons("8 callers, 2 ms a token, 3 VMs", 3, 8, 20).await;
        compare_memory().await;
    });
}
