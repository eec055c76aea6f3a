//! Sound endpoints that are late, and what follows if they are given up.

use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::EndpointFaults;
use figramp::stand_in::deployment::EndpointServer;
use figramp::stand_in::deployment::LateAnswer;
use figramp::stand_in::deployment::LateReader;
use figramp::stand_in::deployment::LinkProxy;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::support::any_port;
use super::support::configuration;
use super::support::new_ip;
use super::support::whole_stream;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;
use super::support::KEY;

const REQUESTS: usize = 6;

const PAUSE: Duration = Duration::from_millis(100);

/// The time that an endpoint needs to send the head and two events.
const BEGUN: Duration = Duration::from_millis(250);

const SILENCE: Duration = Duration::from_millis(2_500);

/// The time for a VM to read a change of the store.
const LISTING_TIME: Duration = Duration::from_millis(1_500);

/// A body that exceeds the buffers of the connection to an endpoint that does not read it.
const LONG_BODY_BYTES: usize = 65_000;

fn faults() -> EndpointFaults {
    EndpointFaults {
        pause: PAUSE,
        ..EndpointFaults::default()
    }
}

fn full() -> EndpointFaults {
    EndpointFaults {
        is_full: true,
        ..faults()
    }
}

/// Lets the only listed engine fall silent under streams, lists the other one after its `faults` are
/// set, lists the silent one in the `state`, and returns how many streams were whole.
async fn whole_streams(site: &Site, vm: &EntryVm, other: EndpointFaults, state: &str) -> usize {
    let engines: &[EndpointServer; 2] = &site.engines;
    let mut answers = Vec::new();
    for number in 0..REQUESTS {
        let request = vm.post("/stream/x", &format!("s{number}"));
        answers.push(tokio::spawn(async move {
            let answer = request.send().await.ok()?.error_for_status().ok()?;
            answer.text().await.ok()
        }));
    }
    sleep(BEGUN).await;
    engines[0].fall_silent(SILENCE);
    engines[1].set_faults(other);
    site.store
        .put(&engines[1].key(), engines[1].record("ready"));
    site.store.put(&engines[0].key(), engines[0].record(state));
    let mut whole = 0;
    for answer in answers {
        let body = answer.await.expect("the request ends");
        whole += usize::from(body.as_ref() == Some(&whole_stream()));
    }
    whole
}

async fn launch_site() -> Site {
    let site = Site::launch(EAST).await;
    for endpoint in &site.engines {
        endpoint.set_faults(faults());
    }
    site
}

#[tokio::test]
async fn a_silent_stream_is_not_cut_if_the_other_endpoint_refuses_with_the_last_retry() {
    let site = launch_site().await;
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    for engine in &site.engines {
        engine.set_faults(EndpointFaults {
            truncated_event: Some(1),
            ..EndpointFaults::default()
        });
    }
    // Each of these takes a retry; about four are left for the streams.
    for number in 0..63 {
        if let Ok(response) = vm.post("/stream/x", &format!("b{number}")).send().await {
            let _ = response.text().await;
        }
    }
    site.engines[0].set_faults(faults());
    site.store.remove(&site.engines[1].key());
    sleep(LISTING_TIME).await;
    let whole = whole_streams(&site, &vm, full(), "ready").await;
    assert_eq!(whole, REQUESTS);
}

#[tokio::test]
async fn a_silent_stream_is_not_cut_if_its_endpoint_drains_and_the_other_refuses() {
    let site = launch_site().await;
    site.store.remove(&site.engines[1].key());
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    let whole = whole_streams(&site, &vm, full(), "draining").await;
    assert_eq!(whole, REQUESTS);
}

#[tokio::test]
async fn a_silent_stream_is_not_cut_if_the_endpoint_that_it_is_resumed_at_fails() {
    let site = launch_site().await;
    site.store.remove(&site.engines[1].key());
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    let failing = EndpointFaults {
        mislabels_answers: true,
        ..faults()
    };
    let whole = whole_streams(&site, &vm, failing, "ready").await;
    assert_eq!(whole, REQUESTS);
}

#[tokio::test]
async fn a_stream_is_not_cut_if_its_endpoint_reads_the_body_late() {
    let site = launch_site().await;
    let delay = Duration::from_millis(2_600);
    let reader = LateReader::launch(any_port(), LateAnswer::Before, delay).expect("an endpoint");
    site.store.remove(&site.engines[1].key());
    let record = site.engines[0].record_at(reader.address(), "ready");
    site.store.put(&site.engines[0].key(), record);
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    for path in ["/tip-stream/x", "/stream/x"] {
        let request = vm.post(path, "r1").body("x".repeat(LONG_BODY_BYTES));
        let began_at = Instant::now();
        let answer = request.send().await.expect("a head");
        let body = answer.text().await;
        let elapsed = began_at.elapsed();
        assert_eq!(body.ok(), Some(whole_stream()), "{path} after {elapsed:?}");
    }
}

#[tokio::test]
async fn a_booking_is_answered_if_its_endpoint_reads_the_body_late() {
    let site = launch_site().await;
    let delay = Duration::from_millis(2_600);
    let reader = LateReader::launch(any_port(), LateAnswer::After, delay).expect("an endpoint");
    site.store.remove(&site.plain[1].key());
    let record = site.plain[0].record_at(reader.address(), "ready");
    site.store.put(&site.plain[0].key(), record);
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    let request = vm.post("/book/x", "r1").body("x".repeat(LONG_BODY_BYTES));
    let began_at = Instant::now();
    let answer = request.send().await.expect("an answer");
    assert_eq!(answer.status(), 200, "after {:?}", began_at.elapsed());
}

#[tokio::test]
async fn a_read_is_answered_if_its_connection_goes_silent_for_good() {
    let site = launch_site().await;
    let proxy = LinkProxy::launch(any_port(), site.plain[0].address()).await;
    let proxy = proxy.expect("a proxy");
    site.store.remove(&site.plain[1].key());
    let record = site.plain[0].record_at(proxy.address(), "ready");
    site.store.put(&site.plain[0].key(), record);
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    let warm = vm.post("/read/x", "warm").send().await.expect("an answer");
    assert_eq!(warm.text().await.expect("a body"), "done");
    proxy.freeze_open();
    let began_at = Instant::now();
    let answer = vm.post("/read/x", "r1").send().await.expect("an answer");
    assert_eq!(answer.status(), 200, "after {:?}", began_at.elapsed());
}

#[tokio::test]
async fn an_endpoint_that_accepts_connections_late_serves_as_soon_as_it_does() {
    let site = launch_site().await;
    site.store.remove(&site.plain[1].key());
    let accepts_after = Duration::from_millis(3_000);
    let began_at = Instant::now();
    let late = LateReader::launch_late(any_port(), accepts_after).expect("an endpoint");
    // Connections of others that the kernel holds meanwhile.
    let mut held = Vec::new();
    for _ in 0..2 {
        held.push(TcpStream::connect(late.address()).await.expect("held"));
    }
    let record = site.plain[0].record_at(late.address(), "ready");
    site.store.put(&site.plain[0].key(), record);
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    sleep(Duration::from_millis(2_600).saturating_sub(began_at.elapsed())).await;
    let mut early = Vec::new();
    for number in 0..REQUESTS {
        let request = vm.post("/read/x", &format!("e{number}"));
        early.push(tokio::spawn(request.send()));
    }
    sleep(Duration::from_millis(3_300).saturating_sub(began_at.elapsed())).await;
    let answer = vm.post("/read/x", "after").send().await;
    let status = answer.expect("an answer").status();
    assert_eq!(status, 200, "after {:?}", began_at.elapsed());
}

#[tokio::test]
async fn a_request_that_waits_at_the_end_of_a_stop_gets_a_refusal() {
    let site = launch_site().await;
    let mut changed = configuration(1, &[KEY]);
    for route in changed["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = 20_000.into();
    }
    site.store.put("op/config", changed.to_string());
    site.store.remove(&site.plain[1].key());
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    site.plain[0].fall_silent(Duration::from_secs(12));
    for path in ["/read/x", "/book/x"] {
        let request = vm.http.post(format!("http://{}:8221{path}", vm.ip));
        let request = request
            .header("Host", "test.example")
            .header("Request-Id", "r1")
            .header("Timeout-Ms", "15000")
            .header("Authorization", format!("Bearer {KEY}"))
            .body("ask");
        let answer = tokio::spawn(request.send());
        sleep(BEGUN).await;
        if path == "/book/x" {
            vm.signal("-TERM");
            let began_at = Instant::now();
            let answer = answer.await.expect("the request ends");
            let status = answer.map(|answer| answer.status().as_u16());
            assert!(status.is_ok(), "{status:?} after {:?}", began_at.elapsed());
        }
    }
}
