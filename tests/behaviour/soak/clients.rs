//! Clients that send requests continuously.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use tokio::sync::watch;
use tokio::time::sleep;

use super::history::Exchange;
use super::history::Received;
use super::history::RequestKind;
use super::world::World;

/// The longest pause of a client between two requests.
const PAUSE_MAX_MS: u64 = 40;

/// The timeout that a client sets for each request.
const TIMEOUT_MS: u64 = 3_500;

/// Sends random kinds of requests to random VMs until `is_over` is true.
pub(super) async fn send_requests(
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
        let kind = RequestKind::ALL[rng.random_range(0..RequestKind::ALL.len())];
        let key = world.key(rng.random_range(0..8));
        let id = format!("{seed:x}-{client}-{number}");
        let exchange = send_once(&world, &http, vm, kind, key, id).await;
        world.history.lock().exchanges.push(exchange);
        sleep(Duration::from_millis(rng.random_range(0..PAUSE_MAX_MS))).await;
    }
}

async fn send_once(
    world: &World,
    http: &reqwest::Client,
    vm: usize,
    kind: RequestKind,
    key: String,
    id: String,
) -> Exchange {
    let slot = &world.vms[vm];
    let start_count = *slot.start_count.lock();
    let request = http
        .post(format!("http://{}:8221{}", slot.ip, kind.path()))
        .header("Host", "test.example")
        .header("Request-Id", &id)
        .header("Timeout-Ms", TIMEOUT_MS.to_string())
        .header("Authorization", format!("Bearer {key}"))
        .body("ask");
    let sent_at = Instant::now();
    let received = receive(request).await;
    let end_count = *slot.start_count.lock();
    Exchange {
        id,
        kind,
        key,
        vm,
        starts: (start_count, end_count),
        sent_at,
        ended_at: Instant::now(),
        received,
    }
}

async fn receive(request: reqwest::RequestBuilder) -> Received {
    let Ok(mut response) = request.send().await else {
        return Received::Nothing;
    };
    let status = response.status().as_u16();
    let mut body = Vec::new();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => {
                let body = String::from_utf8_lossy(&body).into_owned();
                return Received::Complete { status, body };
            }
            Err(_) => {
                let body = String::from_utf8_lossy(&body).into_owned();
                return Received::Truncated { status, body };
            }
        }
    }
}
