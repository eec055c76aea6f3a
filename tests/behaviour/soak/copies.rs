//! Endpoints that write copies of refusals, and what brings identifiers back to them: addresses that are
//! listed under two identifiers, and clients that send refused requests again.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::CopyCounts;
use figramp::stand_in::deployment::CopyingProxy;
use figramp::stand_in::deployment::EndpointFaults;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::clients::send_once;
use super::clients::Request;
use super::clients::SOUND_BODY;
use super::history::Prompt;
use super::history::Received;
use super::history::RequestKind;
use super::world::World;
use crate::entry::support::KEY;

/// The number of clients that send refused requests again.
const CLIENT_COUNT: usize = 6;

const PAUSE_MS: std::ops::Range<u64> = 0..40;

/// The time from a refusal to the next request with its identifier.
const AGAIN_MS: std::ops::Range<u64> = 50..300;

/// How often a client sends a request.
const SENT_MAX: u32 = 4;

/// The pause between two causes of refusals.
const GAP_MS: std::ops::Range<u64> = 50..250;

/// How long the entry of a previous process outlives it.
const PREVIOUS_MS: std::ops::Range<u64> = 700..2_500;

/// How long the endpoints of a service are full.
const FULL_MS: std::ops::Range<u64> = 50..400;

/// The smallest number of copies that makes a run meaningful.
const COPIES_MIN: u32 = 10;

/// Why requests are refused.
#[derive(Clone, Copy, Debug)]
enum Cause {
    /// The entry of a previous process is still listed with the address of this endpoint.
    Previous { endpoint: usize, number: u32 },
    /// All endpoints of the service of these requests are full.
    Full(RequestKind),
}

impl Cause {
    async fn play(self, world: Arc<World>, time: Duration) {
        match self {
            Self::Previous { endpoint, number } => {
                let slot = &world.endpoints[endpoint];
                let key = format!("servers/previous-{number}");
                let record = slot.server.record_at(slot.link.address(), "ready");
                world.store.put(&key, record);
                sleep(time).await;
                world.expire(key);
            }
            Self::Full(kind) => {
                let full = EndpointFaults {
                    is_full: true,
                    ..world.no_faults()
                };
                for faults in [full, world.no_faults()] {
                    for slot in world.endpoints_for(kind) {
                        slot.set_faults(faults.clone());
                    }
                    if faults.is_full {
                        sleep(time).await;
                    }
                }
            }
        }
    }
}

/// Lets endpoints write copies and refuse requests for `time`; all have ended by then.
pub(super) async fn inject(world: Arc<World>, mut rng: StdRng, time: Duration) {
    let started = Instant::now();
    let mut causes = JoinSet::new();
    proxies(&world).for_each(|proxy| proxy.set_copying(true));
    for number in 0.. {
        sleep(Duration::from_millis(rng.random_range(GAP_MS))).await;
        let (cause, length_ms) = match rng.random_range(0..4) {
            0 => {
                let kind = RequestKind::ALL[rng.random_range(0..RequestKind::ALL.len())];
                (Cause::Full(kind), rng.random_range(FULL_MS))
            }
            _ => {
                let endpoint = rng.random_range(0..world.endpoints.len());
                let cause = Cause::Previous { endpoint, number };
                (cause, rng.random_range(PREVIOUS_MS))
            }
        };
        let length = Duration::from_millis(length_ms);
        if started.elapsed() + length > time {
            break;
        }
        let at_ms = started.elapsed().as_millis();
        world.record_action(format!("{at_ms} ms: {cause:?} {length:?}"));
        causes.spawn(cause.play(Arc::clone(&world), length));
    }
    while let Some(ended) = causes.join_next().await {
        ended.expect("a cause of refusals ends");
    }
    proxies(&world).for_each(|proxy| proxy.set_copying(false));
}

fn proxies(world: &World) -> impl Iterator<Item = &CopyingProxy> {
    let endpoints = world.endpoints.iter();
    endpoints.filter_map(|endpoint| endpoint.copying.as_ref())
}

/// Returns a description of the copies if there were too few.
pub(super) fn too_few(world: &World) -> Option<String> {
    let counts: Vec<CopyCounts> = proxies(world).map(CopyingProxy::counts).collect();
    let sum = |count: fn(&CopyCounts) -> u32| counts.iter().map(count).sum::<u32>();
    let sums = CopyCounts {
        at_once: sum(|counts| counts.at_once),
        same_request: sum(|counts| counts.same_request),
        other_request: sum(|counts| counts.other_request),
    };
    if !counts.is_empty() {
        println!("{sums:?}");
    }
    let is_too_few = !counts.is_empty() && sums.at_once + sums.other_request < COPIES_MIN;
    is_too_few.then(|| format!("too few copies: {sums:?}"))
}

/// Starts clients that send requests again, under their identifiers, after they were refused.
pub(super) fn start_clients(
    clients: &mut JoinSet<()>,
    world: &Arc<World>,
    seed: u64,
    is_over: &watch::Receiver<bool>,
) {
    for client in 0..CLIENT_COUNT {
        let rng = StdRng::seed_from_u64(seed ^ (client as u64 + 0xa9) << 32);
        clients.spawn(send_refused_again(
            Arc::clone(world),
            client,
            rng,
            is_over.clone(),
        ));
    }
}

async fn send_refused_again(
    world: Arc<World>,
    client: usize,
    mut rng: StdRng,
    is_over: watch::Receiver<bool>,
) {
    let http = reqwest::Client::new();
    for number in 0.. {
        let kind = match rng.random() {
            true => RequestKind::Book,
            false => RequestKind::TipStream,
        };
        let vm = rng.random_range(0..world.vms.len());
        let mut refused: Option<usize> = None;
        for _ in 0..SENT_MAX {
            if *is_over.borrow() {
                return;
            }
            if let Some(index) = refused {
                sleep(Duration::from_millis(rng.random_range(AGAIN_MS))).await;
                let now = Instant::now();
                world.history.lock().exchanges[index].sent_again_at = Some(now);
            }
            let request = Request {
                id: format!("again-{client}-{number}"),
                kind,
                timeout: world.timeout(kind, number),
                prompt: Prompt::Undeclared,
                parts: None,
                body: SOUND_BODY.to_owned(),
                key: KEY.to_owned(),
                vm,
            };
            let index = send_once(&world, &http, request).await;
            if !is_refused(&world, index) {
                break;
            }
            refused = Some(index);
        }
        sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
}

fn is_refused(world: &World, index: usize) -> bool {
    let received = &world.history.lock().exchanges[index].received;
    matches!(received, Received::Complete { status: 503, .. })
}
