//! Requests whose clients close their connections while the daemon waits for the processor.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::Arrival;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::processor_quota::ProcessorQuota;
use super::support::new_ip;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;
use super::support::WEST;

/// The time after a client's close in which its request may still reach an endpoint.
const GRACE: Duration = Duration::from_millis(500);

/// How long the daemon runs in each tenth of a second.
const RUN_TIME: Duration = Duration::from_millis(4);

/// How long clients wait, at most, before they close their connections.
const PATIENCE: Duration = Duration::from_millis(1_000);

/// The number of requests, and the time between two.
const REQUESTS: usize = 1_500;
const INTERVAL: Duration = Duration::from_millis(1);

/// The time that gossip needs to reach each VM.
const GOSSIP_TIME: Duration = Duration::from_millis(1_200);

/// How long requests are looked for after the last client has left.
const REST: Duration = Duration::from_secs(5);

/// Sends requests to `vm` whose clients lose their patience, while `busy` hardly runs; checks that
/// none reaches an endpoint long after its client has left.
async fn check_arrivals(site: &Site, vm: &EntryVm, busy: &EntryVm) {
    let quota = ProcessorQuota::impose(busy.process_id(), RUN_TIME);
    let mut clients = JoinSet::new();
    for number in 0..REQUESTS {
        let id = format!("r{number}");
        let request = vm.post("/read/x", &id).timeout(PATIENCE);
        clients.spawn(async move {
            let has_left = request.send().await.is_err();
            (id, has_left.then(Instant::now))
        });
        sleep(INTERVAL).await;
    }
    let ended = clients.join_all().await;
    sleep(REST).await;
    drop(quota);
    let left_at: HashMap<String, Instant> = ended
        .into_iter()
        .filter_map(|(id, left_at)| Some((id, left_at?)))
        .collect();
    let endpoints = site.plain.iter();
    let arrivals: Vec<Arrival> = endpoints.flat_map(|endpoint| endpoint.arrivals()).collect();
    let delays: Vec<Duration> = arrivals
        .iter()
        .filter_map(|arrival| {
            let left_at = left_at.get(&arrival.request_id)?;
            arrival.at.checked_duration_since(*left_at)
        })
        .collect();
    let summary = format!(
        "{} of {REQUESTS} clients left; {} requests reached an endpoint, {} after that, the last by {:?}",
        left_at.len(),
        arrivals.len(),
        delays.len(),
        delays.iter().max(),
    );
    println!("{summary}");
    assert!(left_at.len() > REQUESTS / 10, "{summary}");
    assert!(!arrivals.is_empty(), "{summary}");
    let late_count = delays.iter().filter(|delay| **delay > GRACE).count();
    assert_eq!(late_count, 0, "{summary}");
}

#[tokio::test]
async fn a_busy_daemon_sends_no_request_on_long_after_its_client_left() {
    let site = Site::launch(EAST).await;
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    check_arrivals(&site, &vm, &vm).await;
}

#[tokio::test]
async fn a_busy_daemon_of_another_region_sends_no_request_on_long_after_its_client_left() {
    let site = Site::launch(WEST).await;
    let (east, west) = (new_ip(), new_ip());
    let remote = EntryVm::launch(west, WEST, &site.store, &[east]).await;
    let local = EntryVm::launch(east, EAST, &site.store, &[west]).await;
    sleep(GOSSIP_TIME).await;
    check_arrivals(&site, &local, &remote).await;
}
