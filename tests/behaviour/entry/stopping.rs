//! A shutdown or a reload interrupts no request.

use std::time::Duration;

use figramp::stand_in::deployment::EndpointFaults;

use super::support::configuration;
use super::support::new_ip;
use super::support::whole_stream;
use super::support::EntryVm;
use super::support::Site;
use super::support::StartingVm;
use super::support::EAST;
use super::support::KEY;
use super::support::WEST;

/// The timeout of requests to slow endpoints, a little less than the time that a VM has for a stop.
const SLOW_TIMEOUT_MS: u64 = 7_400;

const SLOW_ANSWER: Duration = Duration::from_millis(7_000);

#[tokio::test]
async fn running_answers_are_completed_and_the_process_exits_with_success() {
    let site = Site::launch(EAST).await;
    for endpoint in &site.engines {
        endpoint.set_faults(EndpointFaults {
            pause: Duration::from_millis(400),
            ..EndpointFaults::default()
        });
    }
    let mut vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    let running = vm.post("/stream/x", "r1").send().await.expect("a head");
    vm.signal("-TERM");
    vm.wait_until(false).await;
    let late = vm.post("/read/x", "r2").send().await.expect("still served");
    assert_eq!(late.status(), 200);
    assert_eq!(late.headers()["connection"], "close");
    assert_eq!(running.text().await.expect("a body"), whole_stream());
    assert_eq!(vm.wait_for_exit(), Some(0));
}

/// Streams through a cross-region forward while one of the two VMs stops.
async fn stop_during_a_forward(stops_local: bool) {
    let site = Site::launch(WEST).await;
    for endpoint in &site.engines {
        endpoint.set_faults(EndpointFaults {
            pause: Duration::from_millis(400),
            ..EndpointFaults::default()
        });
    }
    let (east, west) = (new_ip(), new_ip());
    let remote = EntryVm::launch(west, WEST, &site.store, &[east]).await;
    let local = EntryVm::launch(east, EAST, &site.store, &[west]).await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let request = local.post("/tip-stream/x", "r1");
    let running = request.send().await.expect("a head");
    let mut stopped = if stops_local { local } else { remote };
    stopped.signal("-TERM");
    assert_eq!(running.text().await.expect("a body"), whole_stream());
    assert_eq!(site.runs("r1"), 1);
    assert_eq!(stopped.wait_for_exit(), Some(0));
}

#[tokio::test]
async fn a_stop_of_the_local_vm_does_not_interrupt_a_forwarded_stream() {
    stop_during_a_forward(true).await;
}

#[tokio::test]
async fn a_stop_of_the_remote_vm_does_not_interrupt_a_forwarded_stream() {
    stop_during_a_forward(false).await;
}

/// Sends requests to slow endpoints before and during a stop; checks that each that came after the signal
/// has an answer, and ran only if it was answered in full.
async fn stop_under_slow_requests(path: &'static str) {
    let site = Site::launch(EAST).await;
    let mut configuration = configuration(2, &[KEY]);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = SLOW_TIMEOUT_MS.into();
    }
    site.store.put("op/config", configuration.to_string());
    for endpoint in site.plain.iter().chain(&site.engines) {
        endpoint.set_faults(EndpointFaults {
            pause: match path.contains("stream") {
                true => SLOW_ANSWER / 6,
                false => SLOW_ANSWER,
            },
            ..EndpointFaults::default()
        });
    }
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    vm.signal("-TERM");
    vm.wait_until(false).await;
    let mut requests = Vec::new();
    for number in 0..40 {
        let id = format!("r{number}");
        let mut request = vm.post(path, &id).build().expect("a request");
        let headers = request.headers_mut();
        headers.insert("timeout-ms", SLOW_TIMEOUT_MS.into());
        requests.push((id, tokio::spawn(vm.http.execute(request))));
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    for (id, request) in requests {
        let Ok(answer) = request.await.expect("no panic") else {
            assert_eq!(site.runs(&id), 0, "{id} ran without an answer");
            continue;
        };
        let (status, runs) = (answer.status().as_u16(), site.runs(&id));
        let is_whole = answer.text().await.is_ok();
        assert!(
            (status == 200 && is_whole) || (status == 503 && runs == 0),
            "{id}: {status}, whole: {is_whole}, {runs} runs"
        );
    }
}

#[tokio::test]
async fn unsafe_requests_that_may_outlast_a_stop_are_refused_and_do_not_run() {
    stop_under_slow_requests("/book/x").await;
}

#[tokio::test]
async fn safe_requests_that_may_outlast_a_stop_are_refused() {
    stop_under_slow_requests("/read/x").await;
}

#[tokio::test]
async fn streams_that_may_outlast_a_stop_are_refused() {
    stop_under_slow_requests("/tip-stream/x").await;
}

#[tokio::test]
async fn a_reload_during_the_start_does_not_end_the_process() {
    let site = Site::launch(EAST).await;
    let starting = StartingVm::start(new_ip(), EAST, site.store.address());
    starting.vm().signal("-HUP");
    starting.finish_start().wait_until(true).await;
}

#[tokio::test]
async fn a_stop_during_the_start_ends_the_process_with_success() {
    let site = Site::launch(EAST).await;
    let starting = StartingVm::start(new_ip(), EAST, site.store.address());
    starting.vm().signal("-TERM");
    assert_eq!(starting.finish_start().wait_for_exit(), Some(0));
}

#[tokio::test]
async fn a_stop_as_soon_as_signals_are_handled_ends_the_process_with_success() {
    let site = Site::launch(EAST).await;
    let mut vms = Vec::new();
    for _ in 0..10 {
        let vm = EntryVm::start(new_ip(), EAST, site.store.address(), &[]);
        vm.wait_for_signal_handlers().await;
        vm.signal("-TERM");
        vms.push(vm);
    }
    for mut vm in vms {
        assert_eq!(vm.wait_for_exit(), Some(0));
    }
}

#[tokio::test]
async fn a_reload_does_not_interrupt_a_stream() {
    let site = Site::launch(EAST).await;
    for endpoint in &site.engines {
        endpoint.set_faults(EndpointFaults {
            pause: Duration::from_millis(100),
            ..EndpointFaults::default()
        });
    }
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    let running = vm.post("/stream/x", "r1").send().await.expect("a head");
    vm.signal("-HUP");
    assert_eq!(running.text().await.expect("a body"), whole_stream());
    assert!(vm.is_ready().await);
}
