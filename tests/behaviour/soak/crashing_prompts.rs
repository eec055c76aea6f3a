//! Prompts with a part that crashes endpoints, beside sound ones that share their key and parts.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::clients::send_once;
use super::clients::Request;
use super::clients::SOUND_BODY;
use super::history::Exchange;
use super::history::History;
use super::history::Prompt;
use super::history::Received;
use super::history::RequestKind;
use super::world::World;
use crate::entry::crash_site::crashing_parts;
use crate::entry::crash_site::sound_parts;
use crate::entry::crash_site::CRASH_LIMIT;
use crate::entry::crash_site::STABLE_WINDOW;
use crate::entry::support::KEY;

const CRASHING_CLIENT_COUNT: usize = 3;
const SOUND_CLIENT_COUNT: usize = 6;

/// The pause of a client between two prompts that crash endpoints, and between two sound ones.
const CRASHING_PAUSE_MS: std::ops::Range<u64> = 200..600;
const SOUND_PAUSE_MS: std::ops::Range<u64> = 0..40;

/// The time for which an endpoint is down after a crash.
const DOWN_MS: std::ops::Range<u64> = 500..1_500;

/// The time before the first crash, without faults.
pub(super) const BASELINE_TIME: Duration = Duration::from_secs(2);

/// The time for which crashing prompts go on once the bounds hold.
pub(super) const CHECK_TIME: Duration = Duration::from_secs(4);

/// The longest time for which crashing prompts go on after the last fault.
pub(super) const CRASHING_MAX: Duration = Duration::from_secs(20);

pub(super) const POLL_PERIOD: Duration = Duration::from_millis(10);

/// The number of requests with a crashing part that may reach endpoints late.
const LATE_ARRIVALS_MAX: usize = 3;

/// The smallest number of sound requests that a fraction is computed from.
pub(super) const SOUND_MIN: usize = 20;

/// The crashing prompts of a run.
pub(super) struct CrashingPrompts {
    world: Arc<World>,
    first_sent_at: Instant,
    restarts: tokio::task::JoinHandle<()>,
    clients: JoinSet<()>,
    over: watch::Sender<bool>,
}

impl CrashingPrompts {
    /// Starts to send crashing prompts after a time in which only sound ones are sent.
    pub(super) async fn start(world: &Arc<World>, seed: u64) -> Self {
        sleep(BASELINE_TIME).await;
        let (over, is_over) = watch::channel(false);
        let mut clients = JoinSet::new();
        for client in 0..CRASHING_CLIENT_COUNT {
            let (world, is_over) = (Arc::clone(world), is_over.clone());
            clients.spawn(send_crashing(world, client, seed, is_over));
        }
        Self {
            world: Arc::clone(world),
            first_sent_at: Instant::now(),
            restarts: tokio::spawn(restart_crashed(Arc::clone(world), seed)),
            clients,
            over,
        }
    }

    /// Goes on for some time after the last fault, ends the crashing prompts, and returns a
    /// description of each violated bound.
    pub(super) async fn finish(mut self) -> Vec<String> {
        let faults_ended_at = Instant::now();
        while faults_ended_at.elapsed() < CRASHING_MAX {
            sleep(POLL_PERIOD).await;
            let is_checked = |from: Instant, wait| from.elapsed() >= wait + CHECK_TIME;
            let limit_reached_at = limit_reached_at(&self.world);
            if is_checked(faults_ended_at, STABLE_WINDOW)
                && limit_reached_at.is_some_and(|at| is_checked(at, STABLE_WINDOW * 2))
            {
                break;
            }
        }
        let ended_at = Instant::now();
        self.over.send_replace(true);
        while let Some(ended) = self.clients.join_next().await {
            ended.expect("a client ends");
        }
        let world = &self.world;
        while world
            .endpoints
            .iter()
            .any(|endpoint| !endpoint.server.is_running())
        {
            sleep(POLL_PERIOD).await;
        }
        self.restarts.abort();
        violations(world, &world.history.lock(), self.first_sent_at, ended_at)
    }
}

/// Starts clients that send sound prompts until `is_over` is true.
pub(super) fn start_sound(
    clients: &mut JoinSet<()>,
    world: &Arc<World>,
    seed: u64,
    is_over: &watch::Receiver<bool>,
) {
    for client in 0..SOUND_CLIENT_COUNT {
        let (world, is_over) = (Arc::clone(world), is_over.clone());
        clients.spawn(async move {
            let name = format!("50{client}");
            let mut rng = StdRng::seed_from_u64(seed ^ 0x50 << 32 ^ client as u64);
            let http = reqwest::Client::new();
            for number in 0.. {
                if *is_over.borrow() {
                    return;
                }
                let vm = rng.random_range(0..world.vms.len());
                let parts = sound_parts(&name, number);
                let request = request(&world, &name, number, vm, number / 2, Prompt::Sound, parts);
                send_once(&world, &http, request).await;
                sleep(Duration::from_millis(rng.random_range(SOUND_PAUSE_MS))).await;
            }
        });
    }
}

/// Sends crashing prompts, new and repeated ones, until `is_over` is true.
async fn send_crashing(
    world: Arc<World>,
    client: usize,
    seed: u64,
    is_over: watch::Receiver<bool>,
) {
    let name = format!("c0{client}");
    let mut rng = StdRng::seed_from_u64(seed ^ 0xc0 << 32 ^ client as u64);
    let http = reqwest::Client::new();
    for number in 0.. {
        if *is_over.borrow() {
            return;
        }
        let vm = rng.random_range(0..world.vms.len());
        let prompt = match rng.random_range(0..3) {
            0 => rng.random_range(0..=number),
            _ => number,
        };
        let parts = crashing_parts(&name, prompt);
        let request = request(
            &world,
            &name,
            number,
            vm,
            prompt / 2,
            Prompt::Crashing,
            parts,
        );
        send_once(&world, &http, request).await;
        sleep(Duration::from_millis(rng.random_range(CRASHING_PAUSE_MS))).await;
    }
}

fn request(
    world: &World,
    name: &str,
    number: usize,
    vm: usize,
    kind: usize,
    prompt: Prompt,
    parts: String,
) -> Request {
    let kind = [RequestKind::Stream, RequestKind::TipStream][kind % 2];
    Request {
        id: format!("{name}-{number}"),
        kind,
        timeout: world.timeout(kind, number),
        prompt,
        parts: Some(parts),
        body: SOUND_BODY.to_owned(),
        key: KEY.to_owned(),
        vm,
    }
}

/// Restarts endpoints some time after each crash.
pub(super) async fn restart_crashed(world: Arc<World>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0xe0 << 32);
    let mut restarts = JoinSet::new();
    let mut restarting = vec![false; world.endpoints.len()];
    let mut count = 0;
    loop {
        sleep(POLL_PERIOD).await;
        while let Some(ended) = restarts.try_join_next() {
            restarting[ended.expect("an endpoint restarts")] = false;
        }
        for (index, endpoint) in world.endpoints.iter().enumerate() {
            if endpoint.server.is_running() || restarting[index] {
                continue;
            }
            restarting[index] = true;
            count += 1;
            let id = format!("restarted-{count}");
            let down = Duration::from_millis(rng.random_range(DOWN_MS));
            let world = Arc::clone(&world);
            restarts.spawn(async move {
                let endpoint = &world.endpoints[index];
                let crashed_at = endpoint.server.crashes().last().copied();
                sleep(down).await;
                world.restart_endpoint(endpoint, &id).await;
                world.record_endpoint_fault(index, crashed_at.expect("a crash"));
                index
            });
        }
    }
}

/// Returns the time from which the bounds count: the fifth crash, or the last of fewer.
fn limit_reached_at(world: &World) -> Option<Instant> {
    let servers = world.endpoints.iter().map(|endpoint| &endpoint.server);
    let mut crashes: Vec<Instant> = servers.flat_map(|server| server.crashes()).collect();
    crashes.sort();
    crashes.get(CRASH_LIMIT - 1).or(crashes.last()).copied()
}

fn violations(
    world: &World,
    history: &History,
    first_sent_at: Instant,
    ended_at: Instant,
) -> Vec<String> {
    let Some(limit_reached_at) = limit_reached_at(world) else {
        return vec!["no crashing prompt reached an endpoint".to_owned()];
    };
    let is_in_touch = |at: Instant| history.is_in_touch(at, STABLE_WINDOW);
    let mut found = Vec::new();
    let servers = world.endpoints.iter().map(|endpoint| &endpoint.server);
    let late = servers
        .flat_map(|server| server.crashing_arrivals())
        .filter(|at| *at > limit_reached_at + STABLE_WINDOW && is_in_touch(*at))
        .count();
    if late > LATE_ARRIVALS_MAX {
        found.push(format!("{late} crashing prompts reached endpoints late"));
    }
    for kind in [RequestKind::Stream, RequestKind::TipStream] {
        let sound = history.exchanges.iter().filter(|exchange| {
            exchange.kind == kind
                && exchange.prompt == Prompt::Sound
                && is_in_touch(exchange.sent_at)
        });
        let (before, rest): (Vec<&Exchange>, Vec<&Exchange>) =
            sound.partition(|exchange| exchange.ended_at < first_sent_at);
        let after: Vec<&Exchange> = rest
            .into_iter()
            .filter(|exchange| {
                exchange.sent_at > limit_reached_at + STABLE_WINDOW * 2
                    && exchange.sent_at < ended_at
            })
            .collect();
        if before.len().min(after.len()) < SOUND_MIN {
            let counts = (before.len(), after.len());
            found.push(format!("too few sound requests of {kind:?}: {counts:?}"));
            continue;
        }
        let (before, after) = (begun_fraction(&before), begun_fraction(&after));
        if after < before / 2.0 {
            found.push(format!("{after} of {kind:?} began, {before} before"));
        }
    }
    found
}

pub(super) fn begun_fraction(exchanges: &[&Exchange]) -> f64 {
    let begun = exchanges.iter().filter(|exchange| has_begun(exchange));
    begun.count() as f64 / exchanges.len() as f64
}

fn has_begun(exchange: &Exchange) -> bool {
    match &exchange.received {
        Received::Complete { status, body } | Received::Truncated { status, body } => {
            *status == 200 && !body.is_empty()
        }
        Received::Nothing => false,
    }
}
