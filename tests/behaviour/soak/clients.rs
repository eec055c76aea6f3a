//! Clients that send requests continuously.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use tokio::sync::watch;
use tokio::time::sleep;

use super::crashing_requests::crashing_body;
use super::history::Exchange;
use super::history::Prompt;
use super::history::Received;
use super::history::RequestKind;
use super::world::World;
use crate::entry::support::KEY;

/// The longest pause of a client between two requests.
const PAUSE_MAX_MS: u64 = 40;

/// A body that crashes no endpoint.
pub(super) const SOUND_BODY: &str = "ask";

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
        let key = match rng.random() {
            true => KEY.to_owned(),
            false => world.key(rng.random_range(0..8)),
        };
        let id = format!("{seed:x}-{client}-{number}");
        let request = Request {
            id,
            kind,
            timeout: world.timeout(kind, number),
            prompt: Prompt::Undeclared,
            parts: None,
            body: sound_body(&mut rng, kind),
            key,
            vm,
        };
        send_once(&world, &http, request).await;
        sleep(Duration::from_millis(rng.random_range(0..PAUSE_MAX_MS))).await;
    }
}

/// Draws a body that crashes no endpoint on the path of this kind.
fn sound_body(rng: &mut StdRng, kind: RequestKind) -> String {
    let other = RequestKind::ALL[rng.random_range(0..RequestKind::ALL.len())];
    match other == kind {
        true => SOUND_BODY.to_owned(),
        false => crashing_body(other),
    }
}

/// A request to send to a VM.
pub(super) struct Request {
    pub(super) id: String,
    pub(super) kind: RequestKind,
    pub(super) timeout: Duration,
    pub(super) prompt: Prompt,
    /// The parts of the prompt, if they are declared.
    pub(super) parts: Option<String>,
    pub(super) body: String,
    pub(super) key: String,
    pub(super) vm: usize,
}

/// Sends a request and adds its result to the history; returns its index there.
pub(super) async fn send_once(world: &World, http: &reqwest::Client, request: Request) -> usize {
    let slot = &world.vms[request.vm];
    let start_count = *slot.start_count.lock();
    let mut message = http
        .post(format!("http://{}:8221{}", slot.ip, request.kind.path()))
        .header("Host", "test.example")
        .header("Request-Id", &request.id)
        .header("Timeout-Ms", request.timeout.as_millis().to_string())
        .header("Authorization", format!("Bearer {}", request.key))
        .body(request.body);
    if let Some(parts) = request.parts {
        message = message
            .header("Token-Count", "2100,80")
            .header("Prefix-Hash", parts);
    }
    let sent_at = Instant::now();
    let received = receive(message).await;
    let end_count = *slot.start_count.lock();
    let exchange = Exchange {
        id: request.id,
        kind: request.kind,
        prompt: request.prompt,
        key: request.key,
        vm: request.vm,
        timeout: request.timeout,
        starts: (start_count, end_count),
        sent_at,
        ended_at: Instant::now(),
        received,
        sent_again_at: None,
    };
    let exchanges = &mut world.history.lock().exchanges;
    exchanges.push(exchange);
    exchanges.len() - 1
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
