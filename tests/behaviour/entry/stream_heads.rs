//! The head of a stream waits for the first event, so that a stream without one ends as refused.

use figramp::stand_in::deployment::EndpointFaults;

use super::support::new_ip;
use super::support::whole_stream;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;

const REQUESTS: usize = 10;

fn breaking_first_events() -> EndpointFaults {
    EndpointFaults {
        truncated_event: Some(1),
        ..EndpointFaults::default()
    }
}

async fn launch(faulty_engines: usize) -> (Site, EntryVm) {
    let site = Site::launch(EAST).await;
    for engine in &site.engines[..faulty_engines] {
        engine.set_faults(breaking_first_events());
    }
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    (site, vm)
}

async fn statuses_without_an_event(path: &str) -> Vec<Option<u16>> {
    let (_site, vm) = launch(2).await;
    let mut statuses = Vec::new();
    for number in 0..REQUESTS {
        let answer = vm.post(path, &format!("r{number}")).send().await;
        statuses.push(answer.ok().map(|answer| answer.status().as_u16()));
    }
    statuses
}

#[tokio::test]
async fn a_stream_that_breaks_before_its_first_event_is_answered_with_502() {
    let statuses = statuses_without_an_event("/tip-stream/x").await;
    assert_eq!(statuses, [Some(502); REQUESTS]);
}

#[tokio::test]
async fn a_resumable_stream_that_no_endpoint_begins_is_answered_with_502() {
    let statuses = statuses_without_an_event("/stream/x").await;
    assert_eq!(statuses, [Some(502); REQUESTS]);
}

#[tokio::test]
async fn a_resumable_stream_that_breaks_before_its_first_event_is_whole_at_another_endpoint() {
    let (_site, vm) = launch(1).await;
    for number in 0..REQUESTS {
        let answer = vm.post("/stream/x", &format!("r{number}")).send().await;
        let body = answer.expect("an answer").text().await.expect("a body");
        assert_eq!(body, whole_stream());
    }
}
