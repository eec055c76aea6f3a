//! Endpoints that send bytes that are no answer, without end, until the connection is closed.

use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::EndpointFaults;

use super::support::new_ip;
use super::support::whole_stream;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;

const DRIP_PAUSE: Duration = Duration::from_millis(200);

/// The most memory that the daemon may need, with the answers of all requests.
const MEMORY_MAX_KB: u64 = 100 * 1024;

async fn launch(faults: &EndpointFaults, count: usize) -> (Site, EntryVm) {
    let site = Site::launch(EAST).await;
    for engine in site.engines.iter().take(count) {
        engine.set_faults(faults.clone());
    }
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    (site, vm)
}

#[tokio::test]
async fn a_stream_without_events_ends_with_an_error_and_fills_no_memory() {
    let faults = EndpointFaults {
        endless_bytes: Some(64 * 1024),
        ..EndpointFaults::default()
    };
    let (site, vm) = launch(&faults, 2).await;
    let started = Instant::now();
    for index in 0..4 {
        let response = vm.post("/tip-stream/x", &format!("r{index}")).send().await;
        let response = response.expect("an answer");
        assert_eq!(response.status(), 502);
        let body = response.text().await.expect("a body");
        assert_eq!(body, "{\"error\":\"failed\"}");
    }
    assert!(started.elapsed() < Duration::from_secs(6));
    assert!(
        vm.peak_memory_kb() < MEMORY_MAX_KB,
        "{} KB",
        vm.peak_memory_kb()
    );
    let closed = async {
        while site.engines.iter().any(|engine| engine.running_count() > 0) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let closed = tokio::time::timeout(Duration::from_secs(2), closed).await;
    closed.expect("the connections are closed");
}

#[tokio::test]
async fn a_stream_that_drips_bytes_without_events_is_resumed_elsewhere() {
    let faults = EndpointFaults {
        endless_bytes: Some(1),
        pause: DRIP_PAUSE,
        ..EndpointFaults::default()
    };
    let (site, vm) = launch(&faults, 1).await;
    for index in 0..4 {
        let started = Instant::now();
        let response = vm.post("/stream/x", &format!("r{index}")).send().await;
        let body = response.expect("a head").text().await;
        assert_eq!(body.expect("a whole stream"), whole_stream());
        assert!(started.elapsed() < Duration::from_secs(3));
    }
    assert!(site.engines[0].total_run_count() > 0);
}

#[tokio::test]
async fn a_slow_but_sound_stream_is_not_cut() {
    let faults = EndpointFaults {
        pause: Duration::from_millis(450),
        ..EndpointFaults::default()
    };
    let (site, vm) = launch(&faults, 2).await;
    let response = vm.post("/stream/x", "r1").send().await.expect("a head");
    assert_eq!(
        response.text().await.expect("a whole stream"),
        whole_stream()
    );
    assert_eq!(site.runs("r1"), 1);
}
