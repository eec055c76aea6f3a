//! Daemons whose endpoints announce in their answers that they stop, or want no requests for a time.

use std::time::Duration;

use figramp::stand_in::deployment::EndpointFaults;
use http::HeaderValue;

use super::support::new_ip;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;

async fn launch() -> (Site, EntryVm) {
    let site = Site::launch(EAST).await;
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    (site, vm)
}

fn refusing(retry_after: &'static str) -> EndpointFaults {
    EndpointFaults {
        is_full: true,
        retry_after: Some(HeaderValue::from_static(retry_after)),
        ..EndpointFaults::default()
    }
}

async fn send(vm: &EntryVm, path: &str, request_id: &str) -> u16 {
    let response = vm.post(path, request_id).send().await;
    response.expect("an answer").status().as_u16()
}

#[tokio::test]
async fn an_endpoint_that_announces_its_stop_gets_one_request_at_most() {
    let (site, vm) = launch().await;
    site.plain[0].set_faults(EndpointFaults {
        is_leaving: true,
        ..EndpointFaults::default()
    });
    for index in 0..30 {
        assert_eq!(send(&vm, "/read/x", &format!("r{index}")).await, 200);
    }
    assert!(site.plain[0].arrival_count() <= 1);
}

#[tokio::test]
async fn a_refusal_announces_a_stop_as_well() {
    let (site, vm) = launch().await;
    site.plain[0].set_faults(EndpointFaults {
        is_leaving: true,
        is_full: true,
        ..EndpointFaults::default()
    });
    for index in 0..10 {
        assert_eq!(send(&vm, "/book/x", &format!("r{index}")).await, 200);
        tokio::time::sleep(Duration::from_millis(80)).await;
    }
    assert!(site.plain[0].arrival_count() <= 1);
}

#[tokio::test]
async fn an_endpoint_that_asks_for_a_pause_gets_no_request_until_its_end() {
    let (site, vm) = launch().await;
    site.plain[0].set_faults(refusing("1.2"));
    for index in 0..10 {
        assert_eq!(send(&vm, "/book/x", &format!("r{index}")).await, 200);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(site.plain[0].arrival_count(), 1);
    tokio::time::sleep(Duration::from_millis(600)).await;
    site.plain[0].set_faults(EndpointFaults::default());
    site.plain[1].set_faults(refusing("30"));
    assert_eq!(send(&vm, "/book/x", "last").await, 200);
    assert_eq!(site.plain[0].run_count("last"), 1);
}

#[tokio::test]
async fn requests_are_refused_at_once_while_all_endpoints_pause() {
    let (site, vm) = launch().await;
    for endpoint in &site.plain {
        endpoint.set_faults(refusing("30"));
    }
    assert_eq!(send(&vm, "/book/x", "first").await, 503);
    let started = std::time::Instant::now();
    for index in 0..10 {
        let request_id = format!("r{index}");
        let response = vm.post("/book/x", &request_id).send().await;
        let response = response.expect("an answer");
        assert_eq!(response.status(), 503);
        assert!(response.headers().contains_key("retry-after"));
        assert_eq!(site.runs(&request_id), 0);
    }
    assert!(started.elapsed() < Duration::from_secs(1));
    for endpoint in &site.plain {
        assert_eq!(endpoint.arrival_count(), 1);
    }
}

#[tokio::test]
async fn unreadable_times_pause_nothing() {
    for value in [
        "-3",
        "soon",
        "NaN",
        "inf",
        "Fri, 04 Dec 2026 10:00:00 GMT",
        "",
    ] {
        let (site, vm) = launch().await;
        for endpoint in &site.plain {
            endpoint.set_faults(refusing(value));
        }
        assert_eq!(send(&vm, "/book/x", "r1").await, 503, "{value}");
        for endpoint in &site.plain {
            endpoint.set_faults(EndpointFaults::default());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(send(&vm, "/book/x", "r2").await, 200, "{value}");
    }
}
