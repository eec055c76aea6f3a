//! Endpoints that bear only a few refusals a second for want of room, from all VMs together.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::EndpointFaults;
use figramp::stand_in::deployment::EndpointServer;
use http::HeaderValue;
use tokio::time::sleep;

use super::support::new_ip;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;

/// The time after which all VMs keep to what endpoints bear, as the users' `stableWindowMs`.
const STABLE_WINDOW: Duration = Duration::from_millis(5_000);

const MEASURED_TIME: Duration = Duration::from_millis(4_000);

const WINDOW: Duration = Duration::from_secs(1);

const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// The answers in progress that an endpoint has room for, as many as its record names.
const SLOTS: usize = 8;

fn brittle(refusals: &'static str, room: usize) -> EndpointFaults {
    EndpointFaults {
        brittle: Some(HeaderValue::from_static(refusals)),
        room: Some(room),
        pause: Duration::from_millis(100),
        ..EndpointFaults::default()
    }
}

/// Returns the largest number of refusals within one window after a time.
fn most_refusals(endpoint: &EndpointServer, from: Instant) -> usize {
    let mut times = endpoint.refusals();
    times.retain(|at| *at >= from);
    let in_window = |start: &Instant| {
        let window = *start..*start + WINDOW;
        times.iter().filter(|at| window.contains(*at)).count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

/// Sends more requests to some VMs than the endpoints have room for, and checks the refusals of each
/// endpoint from the stable window on.
async fn check(vm_count: usize, path: &'static str, refusals: &'static str, room: usize) {
    let site = Site::launch(EAST).await;
    let ips: Vec<_> = (0..vm_count).map(|_| new_ip()).collect();
    let store = site.store.address();
    let vms = ips.iter().map(|ip| EntryVm::start(*ip, EAST, store, &ips));
    let vms: Vec<_> = vms.map(Arc::new).collect();
    for vm in &vms {
        vm.wait_until(true).await;
    }
    sleep(Duration::from_millis(1_500)).await;
    for endpoint in site.plain.iter().chain(&site.engines) {
        endpoint.set_faults(brittle(refusals, room));
    }
    let started = Instant::now();
    let mut answers = Vec::new();
    while started.elapsed() < STABLE_WINDOW + MEASURED_TIME {
        let vm = Arc::clone(&vms[answers.len() % vms.len()]);
        let id = format!("{path}-{}", answers.len());
        answers.push(tokio::spawn(async move {
            let answer = vm.post(path, &id).send().await.expect("an answer");
            let status = answer.status().as_u16();
            answer.text().await.map_or(0, |_| status)
        }));
        sleep(REQUEST_INTERVAL).await;
    }
    let borne: usize = refusals.parse().expect("a number");
    for endpoint in site.plain.iter().chain(&site.engines) {
        let most = most_refusals(endpoint, started + STABLE_WINDOW);
        assert!(
            most <= borne,
            "{path}: {most} refusals a second, {borne} are borne"
        );
    }
    let mut served = 0;
    for answer in answers {
        served += usize::from(answer.await.expect("a status") == 200);
    }
    // A plain answer takes 0.1 s, a stream of six events 0.6 s.
    let answer_s = if path.contains("stream") { 0.6 } else { 0.1 };
    let time_s = (STABLE_WINDOW + MEASURED_TIME).as_secs_f64();
    let capacity = (2.0 * room.min(SLOTS) as f64 * time_s / answer_s).min(time_s * 100.0);
    assert!(
        served as f64 > capacity * 0.4,
        "served {served} of {capacity}"
    );
}

#[tokio::test]
async fn three_vms_overload_brittle_engines_with_resumable_streams() {
    check(3, "/stream/x", "2", SLOTS).await;
}

#[tokio::test]
async fn five_vms_overload_brittle_engines_with_streams_that_cannot_be_resumed() {
    check(5, "/tip-stream/x", "3", SLOTS).await;
}

#[tokio::test]
async fn brittle_engines_with_less_room_than_their_slots_bear_the_refusals() {
    check(4, "/stream/x", "3", 5).await;
}

#[tokio::test]
async fn three_vms_overload_brittle_endpoints_with_unsafe_requests() {
    check(3, "/book/x", "2", 4).await;
}
