//! Endpoints that refuse requests, and that lose, mix up or truncate their answers.

use std::time::Duration;

use figramp::stand_in::deployment::EndpointFaults;

use super::support::new_ip;
use super::support::whole_stream;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;

async fn launch() -> (Site, EntryVm) {
    let site = Site::launch(EAST).await;
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    (site, vm)
}

#[tokio::test]
async fn a_request_that_an_endpoint_refused_goes_to_another() {
    let (site, vm) = launch().await;
    site.plain[0].set_faults(EndpointFaults {
        is_full: true,
        ..EndpointFaults::default()
    });
    for index in 0..6 {
        let id = format!("r{index}");
        let response = vm.post("/book/x", &id).send().await.expect("an answer");
        assert_eq!(response.status(), 200);
        assert_eq!(site.runs(&id), 1);
    }
}

#[tokio::test]
async fn a_refusal_by_all_endpoints_is_a_503_with_retry_after_and_no_run() {
    let (site, vm) = launch().await;
    for endpoint in &site.plain {
        endpoint.set_faults(EndpointFaults {
            is_full: true,
            ..EndpointFaults::default()
        });
    }
    let response = vm.post("/book/x", "r1").send().await.expect("an answer");
    assert_eq!(response.status(), 503);
    let wait = response.headers()["retry-after"].to_str().expect("text");
    let wait: f64 = wait.parse().expect("seconds");
    assert!(wait > 0.0 && wait <= 3.5 / 3.0, "{wait}");
    assert_eq!(site.runs("r1"), 0);
}

#[tokio::test]
async fn a_lost_answer_of_an_unsafe_request_is_a_502_without_a_retry() {
    let (site, vm) = launch().await;
    for endpoint in &site.plain {
        endpoint.set_faults(EndpointFaults {
            loses_answers: true,
            ..EndpointFaults::default()
        });
    }
    let response = vm.post("/book/x", "r1").send().await.expect("an answer");
    assert_eq!(response.status(), 502);
    assert_eq!(site.runs("r1"), 1);
}

#[tokio::test]
async fn an_idempotent_request_whose_answer_is_lost_is_retried() {
    let (site, vm) = launch().await;
    site.plain[0].set_faults(EndpointFaults {
        loses_answers: true,
        ..EndpointFaults::default()
    });
    for index in 0..6 {
        let response = vm.post("/read/x", &format!("r{index}")).send().await;
        assert_eq!(response.expect("an answer").status(), 200);
    }
}

#[tokio::test]
async fn an_answer_to_another_request_is_not_passed_on() {
    let (site, vm) = launch().await;
    for endpoint in &site.plain {
        endpoint.set_faults(EndpointFaults {
            mislabels_answers: true,
            ..EndpointFaults::default()
        });
    }
    let response = vm.post("/book/x", "r1").send().await.expect("an answer");
    assert_eq!(response.status(), 502);
    assert_eq!(site.runs("r1"), 1);
}

#[tokio::test]
async fn a_stream_interrupted_within_an_event_resumes_elsewhere_with_each_event_once() {
    let (site, vm) = launch().await;
    site.engines[0].set_faults(EndpointFaults {
        truncated_event: Some(3),
        ..EndpointFaults::default()
    });
    for index in 0..6 {
        let response = vm.post("/stream/x", &format!("r{index}")).send().await;
        let body = response
            .expect("an answer")
            .text()
            .await
            .expect("a whole body");
        assert_eq!(body, whole_stream());
    }
    assert!(site.engines[0].total_run_count() > 0);
}

#[tokio::test]
async fn a_stream_that_cannot_be_resumed_ends_with_an_error_and_ran_once() {
    let (site, vm) = launch().await;
    for endpoint in &site.engines {
        endpoint.set_faults(EndpointFaults {
            truncated_event: Some(3),
            ..EndpointFaults::default()
        });
    }
    let response = vm.post("/tip-stream/x", "r1").send().await.expect("a head");
    assert!(response.text().await.is_err());
    assert_eq!(site.runs("r1"), 1);
}

#[tokio::test]
async fn a_draining_endpoint_gets_no_requests_after_a_second() {
    let (site, vm) = launch().await;
    let draining = &site.plain[0];
    site.store.put(&draining.key(), draining.record("draining"));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let before = draining.total_run_count();
    for index in 0..10 {
        let response = vm.post("/read/x", &format!("r{index}")).send().await;
        assert_eq!(response.expect("an answer").status(), 200);
    }
    assert_eq!(draining.total_run_count(), before);
}
