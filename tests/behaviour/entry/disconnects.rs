//! Requests of clients that disconnect are cancelled at the endpoint.

use std::time::Duration;

use figramp::stand_in::deployment::EndpointFaults;
use reqwest::RequestBuilder;
use tokio::time::sleep;
use tokio::time::timeout;

use super::support::new_ip;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;
use super::support::WEST;

/// The required time for cancelling the work of a disconnected client.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// A site whose endpoints take a second for each event and for each plain answer.
async fn slow_site(zone: &str) -> Site {
    let site = Site::launch(zone).await;
    for endpoint in site.plain.iter().chain(&site.engines) {
        endpoint.set_faults(EndpointFaults {
            pause: Duration::from_secs(1),
            ..EndpointFaults::default()
        });
    }
    site
}

fn running_count(site: &Site) -> usize {
    let endpoints = site.plain.iter().chain(&site.engines);
    endpoints.map(|endpoint| endpoint.running_count()).sum()
}

async fn wait_for_running(site: &Site, count: usize) {
    while running_count(site) != count {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Sends a request, disconnects while it runs, and checks that it is cancelled.
async fn disconnect(site: &Site, request: RequestBuilder) {
    let sent = tokio::spawn(request.send());
    timeout(Duration::from_secs(3), wait_for_running(site, 1))
        .await
        .expect("the request runs");
    sent.abort();
    // If the head has arrived, the handle holds the answer and keeps its connection open.
    drop(sent);
    timeout(CANCEL_TIMEOUT, wait_for_running(site, 0))
        .await
        .expect("the request is cancelled");
}

#[tokio::test]
async fn before_an_answer_comes() {
    let site = slow_site(EAST).await;
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    disconnect(&site, vm.post("/read/x", "r1")).await;
}

#[tokio::test]
async fn in_the_middle_of_a_stream() {
    let site = slow_site(EAST).await;
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    let mut answer = vm.post("/stream/x", "r1").send().await.expect("a head");
    let first = answer.chunk().await.expect("an event");
    assert!(first.is_some());
    drop(answer);
    timeout(CANCEL_TIMEOUT, wait_for_running(&site, 0))
        .await
        .expect("the request is cancelled");
    assert_eq!(site.runs("r1"), 1);
}

#[tokio::test]
async fn in_another_region() {
    let site = slow_site(WEST).await;
    let (east, west) = (new_ip(), new_ip());
    let _remote = EntryVm::launch(west, WEST, &site.store, &[east]).await;
    let local = EntryVm::launch(east, EAST, &site.store, &[west]).await;
    sleep(Duration::from_millis(1_200)).await;
    disconnect(&site, local.post("/tip-stream/x", "r1")).await;
}
