//! Requests that crash each endpoint that runs them and come again, beside sound ones on their paths.
//!
//! A run has one of each service, so that each crash of a service's endpoints is due to one request.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::CrashingRequest;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::clients::send_once;
use super::clients::Request;
use super::crashing_prompts::begun_fraction;
use super::crashing_prompts::restart_crashed;
use super::crashing_prompts::BASELINE_TIME;
use super::crashing_prompts::CHECK_TIME;
use super::crashing_prompts::CRASHING_MAX;
use super::crashing_prompts::POLL_PERIOD;
use super::crashing_prompts::SOUND_MIN;
use super::history::Exchange;
use super::history::History;
use super::history::Prompt;
use super::history::RequestKind;
use super::world::World;
use crate::entry::crash_site::STABLE_WINDOW;
use crate::entry::support::KEY;

/// The number of clients that send the same request.
const CLIENT_COUNT: usize = 2;

/// The pause of a client between two repeats.
const PAUSE_MS: std::ops::Range<u64> = 200..600;

/// The number of crashes after which a request may reach only a few endpoints more.
const CRASH_LIMIT: usize = 3;

/// The number of repeats that may reach endpoints late.
const LATE_ARRIVALS_MAX: usize = 3;

/// The body that crashes endpoints on the path of this kind.
pub(super) fn crashing_body(kind: RequestKind) -> String {
    format!("crash {}", kind.path())
}

/// Returns the requests that crash endpoints.
pub(super) fn crashing_requests() -> Vec<CrashingRequest> {
    let requests = RequestKind::ALL.into_iter().map(|kind| CrashingRequest {
        path: kind.path().to_owned(),
        body: crashing_body(kind).into(),
    });
    requests.collect()
}

/// The crashing requests of a run.
pub(super) struct CrashingRequests {
    world: Arc<World>,
    kinds: [RequestKind; 2],
    first_sent_at: Instant,
    restarts: JoinHandle<()>,
    clients: JoinSet<()>,
    over: watch::Sender<bool>,
}

impl CrashingRequests {
    /// Starts to send crashing requests after a time in which only sound ones are sent.
    pub(super) async fn start(world: &Arc<World>, seed: u64) -> Self {
        sleep(BASELINE_TIME).await;
        let mut rng = StdRng::seed_from_u64(seed ^ 0xc3 << 32);
        let plain = [RequestKind::Read, RequestKind::Book, RequestKind::Homed];
        let streams = [RequestKind::Stream, RequestKind::TipStream];
        let kinds = [
            plain[rng.random_range(0..plain.len())],
            streams[rng.random_range(0..streams.len())],
        ];
        world.record_action(format!("crashing requests: {kinds:?}"));
        let (over, is_over) = watch::channel(false);
        let mut clients = JoinSet::new();
        for kind in kinds {
            for client in 0..CLIENT_COUNT {
                let rng = StdRng::seed_from_u64(rng.random());
                let (world, is_over) = (Arc::clone(world), is_over.clone());
                clients.spawn(send_repeats(world, kind, client, rng, is_over));
            }
        }
        Self {
            world: Arc::clone(world),
            kinds,
            first_sent_at: Instant::now(),
            restarts: tokio::spawn(restart_crashed(Arc::clone(world), seed)),
            clients,
            over,
        }
    }

    /// Goes on for some time after the last fault, ends the crashing requests, and returns a
    /// description of each violated bound.
    pub(super) async fn finish(mut self) -> Vec<String> {
        let faults_ended_at = Instant::now();
        let is_checked = |from: Instant, wait| from.elapsed() >= wait + CHECK_TIME;
        let is_limit_checked = |kind: &RequestKind| {
            limit_reached_at(&self.world, *kind).is_some_and(|at| is_checked(at, STABLE_WINDOW * 2))
        };
        while faults_ended_at.elapsed() < CRASHING_MAX {
            sleep(POLL_PERIOD).await;
            if is_checked(faults_ended_at, STABLE_WINDOW) && self.kinds.iter().all(is_limit_checked)
            {
                break;
            }
        }
        let ended_at = Instant::now();
        self.over.send_replace(true);
        while let Some(ended) = self.clients.join_next().await {
            ended.expect("a client ends");
        }
        let endpoints = &self.world.endpoints;
        while endpoints
            .iter()
            .any(|endpoint| !endpoint.server.is_running())
        {
            sleep(POLL_PERIOD).await;
        }
        self.restarts.abort();
        let history = self.world.history.lock();
        let kinds = self.kinds.into_iter();
        kinds
            .flat_map(|kind| self.violations(&history, kind, ended_at))
            .collect()
    }

    fn violations(&self, history: &History, kind: RequestKind, ended_at: Instant) -> Vec<String> {
        let Some(limit_reached_at) = limit_reached_at(&self.world, kind) else {
            return vec![format!(
                "no crashing request of {kind:?} reached an endpoint"
            )];
        };
        let mut found = Vec::new();
        let endpoints = self.world.endpoints_for(kind);
        let late = endpoints
            .flat_map(|endpoint| endpoint.server.crashing_request_arrivals())
            .filter(|at| *at > limit_reached_at + STABLE_WINDOW)
            .filter(|at| history.is_in_touch(*at, STABLE_WINDOW))
            .count();
        if late > LATE_ARRIVALS_MAX {
            found.push(format!(
                "{late} crashing requests of {kind:?} reached endpoints late"
            ));
        }
        let exchanges = history.exchanges.iter();
        let sound = exchanges.filter(|exchange| {
            exchange.kind.is_stream() == kind.is_stream()
                && exchange.prompt != Prompt::Crashing
                && exchange.key == KEY
                && history.is_in_touch(exchange.sent_at, STABLE_WINDOW)
        });
        let (before, rest): (Vec<&Exchange>, Vec<&Exchange>) =
            sound.partition(|exchange| exchange.ended_at < self.first_sent_at);
        let is_after = |exchange: &&Exchange| {
            exchange.sent_at > limit_reached_at + STABLE_WINDOW * 2 && exchange.sent_at < ended_at
        };
        let after: Vec<&Exchange> = rest.into_iter().filter(is_after).collect();
        if before.len().min(after.len()) < SOUND_MIN {
            let counts = (before.len(), after.len());
            found.push(format!(
                "too few sound requests beside {kind:?}: {counts:?}"
            ));
            return found;
        }
        let (before, after) = (begun_fraction(&before), begun_fraction(&after));
        if after < before / 2.0 {
            found.push(format!("{after} began beside {kind:?}, {before} before"));
        }
        found
    }
}

/// Sends the same request again and again to random VMs until `is_over` is true.
async fn send_repeats(
    world: Arc<World>,
    kind: RequestKind,
    client: usize,
    mut rng: StdRng,
    is_over: watch::Receiver<bool>,
) {
    let http = reqwest::Client::new();
    for number in 0.. {
        if *is_over.borrow() {
            return;
        }
        let request = Request {
            id: format!("crash-{kind:?}-{client}-{number}"),
            kind,
            timeout: world.timeout(kind, number),
            prompt: Prompt::Crashing,
            parts: None,
            body: crashing_body(kind),
            key: KEY.to_owned(),
            vm: rng.random_range(0..world.vms.len()),
        };
        send_once(&world, &http, request).await;
        sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
}

/// Returns the time from which the bounds count: the third crash, or the last of fewer.
fn limit_reached_at(world: &World, kind: RequestKind) -> Option<Instant> {
    let endpoints = world.endpoints_for(kind);
    let mut crashes: Vec<Instant> = endpoints
        .flat_map(|endpoint| endpoint.server.crashes())
        .collect();
    crashes.sort();
    crashes.get(CRASH_LIMIT - 1).or(crashes.last()).copied()
}
