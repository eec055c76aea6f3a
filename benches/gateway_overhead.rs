//! What the gateway adds over calling the stand-in engine directly.
//!
//! Both ways are measured in one process and one run, so their ratios are comparable. The gateway
//! here is the caller server and the endpoint client without the decisions of a VM.

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
const CONCURRENT_STREAMS: usize = 64;
const STREAMS_PER_CALLER: usize = 10;
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

/// An engine and the two ways to it.
struct Setup {
    engine: EngineServer,
    server: CallerServer,
}

/// A way to the engine.
#[derive(Clone, Copy, Debug)]
enum Way {
    Direct,
    Gateway,
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
            .expect("loopback is free");
        let gateway = DirectGateway {
            endpoint: engine_endpoint(engine.address()),
            client: HttpEndpointClient::new(),
        };
        let clock = Arc::new(SystemClock::new());
        let limits = CallerLimits::default();
        let server = CallerServer::launch(LOOPBACK, Arc::new(gateway), clock, limits)
            .await
            .expect("loopback is free");
        Self { engine, server }
    }

    fn url(&self, way: Way) -> String {
        let address = match way {
            Way::Direct => self.engine.address(),
            Way::Gateway => self.server.address(),
        };
        format!("http://{address}/v1/chat/completions")
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
        r#"{{"model":"m","stream":true,"max_tokens":{answer_max_tokens},"messages":[{{"role":"user","content":"hi"}}]}}"#
    );
    let id = format!("{:032x}", rand::random::<u128>());
    let request = client.post(url).header("x-request-id", id).body(body);
    request.send().await.expect("the request is answered")
}

/// Times of events at the caller, in microseconds.
struct Times {
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    whole: Duration,
    requests: usize,
}

impl Times {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("3 digits are possible");
        Self {
            first_token: histogram(),
            between_tokens: histogram(),
            whole: Duration::ZERO,
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

async fn read_streams(url: String, concurrent: usize, streams_each: usize) -> Times {
    let client = Client::new();
    let started_at = Instant::now();
    let callers = (0..concurrent).map(|_| {
        let (client, url) = (client.clone(), url.clone());
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
    all.whole = started_at.elapsed();
    all
}

fn print_row(name: &str, direct: u64, gateway: u64, unit: &str) {
    let ratio = gateway as f64 / direct.max(1) as f64;
    println!("| {name} | {direct} {unit} | {gateway} {unit} | {ratio:.2} |");
}

fn print_percentiles(name: &str, direct: &Histogram<u64>, gateway: &Histogram<u64>) {
    for quantile in [0.5, 0.95, 0.99] {
        let name = format!("{name} p{:.0}", quantile * 100.0);
        let direct = direct.value_at_quantile(quantile);
        print_row(&name, direct, gateway.value_at_quantile(quantile), "µs");
    }
}

fn requests_per_s(times: &Times) -> u64 {
    (times.requests as f64 / times.whole.as_secs_f64()) as u64
}

async fn compare(title: &str, concurrent: usize, streams_each: usize, time_per_token: Duration) {
    let setup = Setup::launch(time_per_token).await;
    for way in [Way::Direct, Way::Gateway] {
        read_streams(setup.url(way), concurrent, 1).await;
    }
    let direct = read_streams(setup.url(Way::Direct), concurrent, streams_each).await;
    let gateway = read_streams(setup.url(Way::Gateway), concurrent, streams_each).await;
    println!("\n| {title} | direct | gateway | ratio |\n|---|---|---|---|");
    print_row(
        "requests a second",
        requests_per_s(&direct),
        requests_per_s(&gateway),
        "/s",
    );
    print_percentiles("first token", &direct.first_token, &gateway.first_token);
    print_percentiles(
        "between tokens",
        &direct.between_tokens,
        &gateway.between_tokens,
    );
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Returns the memory of one open stream, in bytes, counting its caller and its engine.
async fn bytes_per_open_stream(setup: &Setup, way: Way) -> u64 {
    let client = Client::new();
    let url = setup.url(way);
    let before = resident_bytes();
    let mut streams = Vec::new();
    for _ in 0..IDLE_STREAMS {
        let mut stream = post(&client, &url, TOKENS_PER_STREAM).await.bytes_stream();
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
    let direct = bytes_per_open_stream(&setup, Way::Direct).await;
    let gateway = bytes_per_open_stream(&setup, Way::Gateway).await;
    println!("\n| {IDLE_STREAMS} open streams | direct | gateway | ratio |\n|---|---|---|---|");
    print_row("memory a stream", direct, gateway, "B");
}

fn bench_one_caller(criterion: &mut Criterion, runtime: &Runtime) {
    let setup = runtime.block_on(Setup::launch(Duration::ZERO));
    let mut group = criterion.benchmark_group("one short answer");
    group.throughput(Throughput::Elements(1));
    for way in [Way::Direct, Way::Gateway] {
        let client = Client::new();
        let url = setup.url(way);
        group.bench_function(format!("{way:?}"), |bencher| {
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
    let concurrent = CONCURRENT_STREAMS;
    runtime.block_on(compare("1 caller, no token time", 1, 500, Duration::ZERO));
    runtime.block_on(compare(
        "64 callers, no token time",
        concurrent,
        40,
        Duration::ZERO,
    ));
    runtime.block_on(compare(
        "64 callers, 10 ms a token",
        concurrent,
        STREAMS_PER_CALLER,
        TIME_PER_TOKEN,
    ));
    runtime.block_on(compare_memory());
}
