//! Endpoints that write an earlier refusal once more before they answer the next request.

use std::time::Duration;

use figramp::stand_in::deployment::RepeatingRefuser;
use tokio::time::sleep;

use super::support::any_port;
use super::support::new_ip;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;

const REQUESTS: usize = 30;

/// Longer than an endpoint that refused is avoided.
const INTERVAL: Duration = Duration::from_millis(80);

/// Sends requests to two such endpoints; returns for each its status and how often it ran.
async fn send_requests(path: &str) -> Vec<(u16, u32)> {
    let site = Site::launch(EAST).await;
    let mut refusers = Vec::new();
    for endpoint in &site.plain {
        let refuser = RepeatingRefuser::launch(any_port(), "").await;
        let refuser = refuser.expect("an endpoint");
        let record = endpoint.record_at(refuser.address(), "ready");
        site.store.put(&endpoint.key(), record);
        refusers.push(refuser);
    }
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    let mut results = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("r{number}");
        let answer = vm.post(path, &id).send().await.expect("an answer");
        sleep(INTERVAL).await;
        let runs = refusers.iter().map(|refuser| refuser.run_count(&id)).sum();
        results.push((answer.status().as_u16(), runs));
    }
    results
}

#[tokio::test]
async fn a_booking_is_not_called_refused_though_it_ran() {
    let results = send_requests("/book/x").await;
    assert!(results.iter().any(|(_, runs)| *runs == 1));
    let is_false = |(status, runs): &&(u16, u32)| *status == 503 && *runs > 0;
    assert_eq!(results.iter().find(is_false), None, "{results:?}");
}

#[tokio::test]
async fn a_booking_does_not_run_at_a_second_endpoint() {
    let results = send_requests("/book/x").await;
    let runs_twice = |(_, runs): &&(u16, u32)| *runs > 1;
    assert_eq!(results.iter().find(runs_twice), None, "{results:?}");
}

#[tokio::test]
async fn a_read_is_not_called_refused_though_it_ran() {
    let results = send_requests("/read/x").await;
    let is_false = |(status, runs): &&(u16, u32)| *status == 503 && *runs > 0;
    assert_eq!(results.iter().find(is_false), None, "{results:?}");
}
