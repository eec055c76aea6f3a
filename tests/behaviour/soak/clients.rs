//! Clients that ask all the time.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use tokio::sync::watch;
use tokio::time::sleep;

use super::history::Ask;
use super::history::Exchange;
use super::history::Seen;
use super::world::World;

/// The pause of a client between two requests.
const THINK_MAX_MS: u64 = 40;

/// The times that a client gives its requests.
const TIMEOUT_MS: u64 = 3_500;

/// Asks random VMs for random things until told to stop.
pub(super) async fn ask_on(
    world: Arc<World>,
    client: usize,
    seed: u64,
    is_over: watch::Receiver<bool>,
) {
    let mut rng = StdRng::seed_from_u64(seed ^ (client as u64 + 1) << 32);
    let http = reqwest::Client::new();
    let mut number = 0;
    while !*is_over.borrow() {
        number += 1;
        let vm = rng.random_range(0..world.vms.len());
        let ask = Ask::ALL[rng.random_range(0..Ask::ALL.len())];
        let key = world.key(rng.random_range(0..8));
        let id = format!("{seed:x}-{client}-{number}");
        let exchange = ask_once(&world, &http, vm, ask, key, id).await;
        world.history.lock().exchanges.push(exchange);
        sleep(Duration::from_millis(rng.random_range(0..THINK_MAX_MS))).await;
    }
}

async fn ask_once(
    world: &World,
    http: &reqwest::Client,
    vm: usize,
    ask: Ask,
    key: String,
    id: String,
) -> Exchange {
    let slot = &world.vms[vm];
    let start_count = *slot.start_count.lock();
    let request = http
        .post(format!("http://{}:8221{}", slot.ip, ask.path()))
        .header("Host", "test.example")
        .header("Request-Id", &id)
        .header("Timeout-Ms", TIMEOUT_MS.to_string())
        .header("Authorization", format!("Bearer {key}"))
        .body("ask");
    let sent_at = Instant::now();
    let seen = see(request).await;
    let end_count = *slot.start_count.lock();
    Exchange {
        id,
        ask,
        key,
        vm,
        starts: (start_count, end_count),
        sent_at,
        ended_at: Instant::now(),
        seen,
    }
}

async fn see(request: reqwest::RequestBuilder) -> Seen {
    let Ok(mut response) = request.send().await else {
        return Seen::Nothing;
    };
    let status = response.status().as_u16();
    let mut body = Vec::new();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => {
                let body = String::from_utf8_lossy(&body).into_owned();
                return Seen::Answer { status, body };
            }
            Err(_) => {
                let body = String::from_utf8_lossy(&body).into_owned();
                return Seen::BrokenOff { status, body };
            }
        }
    }
}
