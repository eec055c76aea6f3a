//! Streams go on at their version while the store can't tell the versions of endpoints, by what these report.

use std::time::Duration;

use figramp::stand_in::deployment::EndpointFaults;
use figramp::stand_in::deployment::EndpointServer;
use figramp::stand_in::deployment::StoreFault;
use tokio::time::sleep;

use super::support::configuration;
use super::support::EntryVm;
use super::support::EAST;
use super::support::KEY;
use super::versioned_site::ClientStream;
use super::versioned_site::VersionedSite;
use super::versioned_site::GOSSIP_TIME;

const STREAM_COUNT: usize = 12;

const EVENT_PAUSE: Duration = Duration::from_millis(50);

/// A silence of the store in which requests are still accepted and its last listing shows versions.
const SHORT_SILENCE: Duration = Duration::from_millis(1_200);

/// A silence after which the last listing does not show versions any more.
const LONG_SILENCE: Duration = Duration::from_millis(6_200);

/// The timeout of streams that outlast a long silence.
const LONG_TIMEOUT_MS: u64 = 12_000;

const TWO_VERSIONS: [(&str, &str); 4] =
    [("v1", EAST), ("v1", EAST), ("v1.2", EAST), ("v1.2", EAST)];

async fn launch(engines: &[(&str, &str)]) -> VersionedSite {
    let site = VersionedSite::launch(engines).await;
    site.set_pause(EVENT_PAUSE);
    site
}

/// Begins streams and reads the first event of each.
async fn begin(vms: &[&EntryVm], name: &str) -> Vec<ClientStream> {
    let ids: Vec<String> = (0..STREAM_COUNT)
        .map(|number| format!("{name}{number}"))
        .collect();
    let streams = ids.iter().enumerate().map(|(number, id)| async move {
        let mut request = vms[number % vms.len()].post("/stream/x", id);
        request = request.timeout(Duration::from_millis(LONG_TIMEOUT_MS));
        let mut request = request.build().expect("a request");
        let timeout = request
            .headers_mut()
            .insert("timeout-ms", LONG_TIMEOUT_MS.into());
        assert!(timeout.is_some());
        let response = vms[0].http.execute(request).await.expect("an answer");
        assert_eq!(response.status(), 200);
        let mut stream = ClientStream::of(id.clone(), String::new());
        stream.continue_with(response, 1).await;
        stream
    });
    futures::future::join_all(streams).await
}

/// Takes streams up at some VMs in turn, each once; checks that none is joined. Returns how many are whole.
async fn take_up(streams: &mut [ClientStream], vms: &[&EntryVm], try_name: &str) -> usize {
    let tries = streams
        .iter_mut()
        .enumerate()
        .map(|(number, stream)| async move {
            let id = format!("{try_name}-{}", stream.origin);
            stream.take_up(vms[number % vms.len()], &id).await;
            assert_eq!(stream.versions().len(), 1, "{}", stream.text);
            usize::from(stream.is_whole())
        });
    futures::future::join_all(tries).await.into_iter().sum()
}

/// Reads streams to their ends; checks that none is joined. Returns how many are whole.
async fn finish(streams: &mut [ClientStream]) -> usize {
    let mut whole_count = 0;
    for stream in streams {
        stream.finish().await;
        assert_eq!(stream.versions().len(), 1, "{}", stream.text);
        whole_count += usize::from(stream.is_whole());
    }
    whole_count
}

/// Begins streams as the store falls silent, and kills their VM.
async fn begin_and_kill(site: &VersionedSite, vms: &mut Vec<EntryVm>) -> Vec<ClientStream> {
    site.store.set_fault(StoreFault::Silent);
    sleep(SHORT_SILENCE).await;
    let mut streams = begin(&[&vms[0]], "r").await;
    drop(vms.remove(0));
    finish(&mut streams).await;
    streams
}

/// Begins streams as the store falls silent, and lets the first engine break off its own once the listing is
/// stale.
async fn break_off_in_silence(site: &VersionedSite, vms: &[EntryVm]) -> Vec<ClientStream> {
    site.set_pause(Duration::from_millis(1_500));
    site.store.set_fault(StoreFault::Silent);
    let streams = begin(&[&vms[0]], "r").await;
    site.set_pause(EVENT_PAUSE);
    sleep(LONG_SILENCE - Duration::from_millis(1_500)).await;
    assert!(site.engines[0].running_count() > 0);
    site.engines[0].crash();
    streams
}

/// Ends the process of an engine and starts it again under its identifier.
async fn restart(engine: &EndpointServer, id: &str, version: &str) {
    engine.crash();
    sleep(Duration::from_millis(50)).await;
    engine.set_version(version);
    engine.restart(id).await.expect("a start");
}

/// Lets streams last longer than a long silence.
fn set_long_timeouts(site: &VersionedSite) {
    let mut configuration = configuration(2, &[KEY]);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["maxAttempts"] = 3.into();
        route["timeoutMs"] = LONG_TIMEOUT_MS.into();
        route["gapTargetMs"] = 2_000.into();
    }
    configuration["services"][1]["coldStartS"] = 0.into();
    site.store.put("op/config", configuration.to_string());
}

#[tokio::test]
async fn streams_of_a_killed_vm_go_on_while_the_store_is_silent() {
    let site = launch(&TWO_VERSIONS).await;
    let mut vms = site.launch_vms(&[EAST; 5]).await;
    let mut streams = begin_and_kill(&site, &mut vms).await;
    let vms: Vec<&EntryVm> = vms.iter().collect();
    let whole_count = take_up(&mut streams, &vms, "a").await;
    let begun_count = begin(&vms, "new").await.len();
    assert_eq!(whole_count, begun_count);
}

#[tokio::test]
async fn endpoints_are_asked_for_few_reports() {
    let site = launch(&TWO_VERSIONS).await;
    let mut vms = site.launch_vms(&[EAST; 3]).await;
    let mut streams = begin_and_kill(&site, &mut vms).await;
    let vms: Vec<&EntryVm> = vms.iter().collect();
    let count = || -> usize { site.engines.iter().map(EndpointServer::report_count).sum() };
    assert_eq!(count(), 0);
    // One after another, so that connections are used again.
    for stream in &mut streams[..4] {
        take_up(std::slice::from_mut(stream), &vms[..1], "a").await;
    }
    let report_count = count();
    assert!((1..=2).contains(&report_count), "{report_count}");
}

#[tokio::test]
async fn streams_go_on_at_another_endpoint_of_their_version_after_a_long_silence() {
    let site = launch(&[("v1", EAST), ("v1.2", EAST), ("v1", EAST)]).await;
    set_long_timeouts(&site);
    let vms = site.launch_vms(&[EAST]).await;
    let mut streams = break_off_in_silence(&site, &vms).await;
    assert_eq!(finish(&mut streams).await, STREAM_COUNT);
}

#[tokio::test]
async fn streams_do_not_go_on_at_endpoints_that_started_again_in_a_long_silence() {
    let site = launch(&[("v1", EAST), ("v1", EAST)]).await;
    set_long_timeouts(&site);
    let vms = site.launch_vms(&[EAST]).await;
    // Only the first engine has streams.
    site.engines[1].crash();
    let streams = break_off_in_silence(&site, &vms);
    let restarted = async {
        sleep(LONG_SILENCE / 2).await;
        site.engines[1].set_version("v1.2");
        site.engines[1].restart("e1").await.expect("a start");
    };
    let (mut streams, ()) = tokio::join!(streams, restarted);
    assert_eq!(finish(&mut streams).await, 0);
}

#[tokio::test]
async fn streams_go_on_at_an_endpoint_that_has_just_started_again_at_their_version() {
    let site = launch(&[("v1", EAST), ("v1.2", EAST)]).await;
    let vms = site.launch_vms(&[EAST; 3]).await;
    let vms: Vec<&EntryVm> = vms.iter().collect();
    let mut streams = begin(&vms, "r").await;
    let engine = &site.engines[0];
    restart(engine, "e0", "v1").await;
    site.store.put(&engine.key(), engine.record("ready"));
    finish(&mut streams).await;
    sleep(GOSSIP_TIME).await;
    take_up(&mut streams, &vms, "a").await;
    assert_eq!(finish(&mut streams).await, STREAM_COUNT);
}

#[tokio::test]
async fn streams_begun_at_an_endpoint_that_has_just_started_again_are_taken_up() {
    let site = launch(&[("v1", EAST), ("v1", EAST), ("v1.2", EAST)]).await;
    let mut vms = site.launch_vms(&[EAST; 3]).await;
    let mut streams = begin(&[&vms[0]], "r").await;
    site.engines[2].crash();
    for (number, engine) in site.engines[..2].iter().enumerate() {
        restart(engine, &format!("e{number}"), "v1").await;
        site.store.put(&engine.key(), engine.record("ready"));
    }
    finish(&mut streams).await;
    sleep(GOSSIP_TIME).await;
    take_up(&mut streams, &[&vms[0]], "a").await;
    // The connections of the take-ups are used again.
    let mut begun = Vec::new();
    for number in 0..4 {
        begun.push(ClientStream::begin(&vms[0], &format!("new{number}"), 1).await);
    }
    drop(vms.remove(0));
    finish(&mut begun).await;
    let vms: Vec<&EntryVm> = vms.iter().collect();
    assert_eq!(take_up(&mut begun, &vms, "a").await, begun.len());
}

/// Starts engines of v1 again at another version as the store falls silent; checks that no stream is joined.
async fn check_restarts_in_silence(report: Option<&str>) {
    let site = launch(&[("v1", EAST), ("v1", EAST), ("v1", EAST)]).await;
    let vms = site.launch_vms(&[EAST; 3]).await;
    let vms: Vec<&EntryVm> = vms.iter().collect();
    site.set_faults(&EndpointFaults {
        pause: EVENT_PAUSE,
        report: report.map(str::to_owned),
        ..EndpointFaults::default()
    });
    site.store.set_fault(StoreFault::Silent);
    sleep(SHORT_SILENCE).await;
    let streams = begin(&vms, "r").await;
    let mut streams: Vec<ClientStream> = streams
        .into_iter()
        .map(|stream| ClientStream::of(stream.origin, stream.text))
        .collect();
    for (number, engine) in site.engines.iter().enumerate().skip(1) {
        restart(engine, &format!("e{number}"), "v1.2").await;
    }
    take_up(&mut streams, &vms, "a").await;
    site.engines[0].crash();
    take_up(&mut streams, &vms, "b").await;
}

#[tokio::test]
async fn streams_are_not_joined_if_endpoints_start_again_while_the_store_is_silent() {
    check_restarts_in_silence(None).await;
}

#[tokio::test]
async fn streams_are_not_joined_if_endpoints_that_start_again_report_no_start() {
    check_restarts_in_silence(Some("{}")).await;
}

/// Checks that no stream goes on by a report.
async fn check_refused(report: &str) {
    let site = launch(&TWO_VERSIONS).await;
    let mut vms = site.launch_vms(&[EAST; 3]).await;
    site.set_faults(&EndpointFaults {
        pause: EVENT_PAUSE,
        report: Some(report.to_owned()),
        ..EndpointFaults::default()
    });
    let mut streams = begin_and_kill(&site, &mut vms).await;
    let vms: Vec<&EntryVm> = vms.iter().collect();
    assert_eq!(take_up(&mut streams, &vms, "a").await, 0, "{report:.80}");
}

#[tokio::test]
async fn streams_do_not_go_on_by_reports_that_show_no_start() {
    // The engines were born at 1000.
    let long = format!("{{\"runs\":\"{}\",\"born\":1000}}", "x".repeat(1 << 20));
    let reports = [
        "",
        "{}",
        "1000",
        "[1000]",
        "{\"born\":1000",
        "{\"born\":null}",
        "{\"born\":\"1000\"}",
        "{\"born\":-1000}",
        "{\"born\":1000.5}",
        "{\"born\":1001}",
        "{\"born\":0}",
        "{\"born\":1000,\"born\":1001}",
        &long,
    ];
    futures::future::join_all(reports.map(check_refused)).await;
}

#[tokio::test]
async fn a_stream_goes_on_beside_endpoints_that_give_no_report() {
    let site = launch(&[("v1", EAST), ("v1", EAST), ("v1.2", EAST)]).await;
    let mut vms = site.launch_vms(&[EAST; 3]).await;
    let mut streams = begin_and_kill(&site, &mut vms).await;
    let vms: Vec<&EntryVm> = vms.iter().collect();
    site.engines[0].fall_silent(Duration::from_millis(2_000));
    let whole_count = take_up(&mut streams, &vms, "a").await;
    assert_eq!(whole_count, STREAM_COUNT);
}
