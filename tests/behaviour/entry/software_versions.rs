//! A stream goes on only at the software version that began it, within one answer.

use std::time::Duration;

use figramp::stand_in::deployment::EndpointFaults;
use serde_json::json;
use tokio::time::sleep;

use super::support::EAST;
use super::support::WEST;
use super::versioned_site::ClientStream;
use super::versioned_site::VersionedSite;

const STREAM_COUNT: usize = 12;

/// Lets the first engine break off its streams after the second event.
fn break_off_first(site: &VersionedSite) {
    site.engines[0].set_faults(EndpointFaults {
        truncated_event: Some(2),
        ..EndpointFaults::default()
    });
}

/// Streams through the first of some VMs; checks that none is joined, and returns how many are whole.
async fn count_whole(site: &VersionedSite, vm_zones: &[&str]) -> usize {
    let vms = site.launch_vms(vm_zones).await;
    let mut whole_count = 0;
    for number in 0..STREAM_COUNT {
        let mut stream = ClientStream::begin(&vms[0], &format!("r{number}"), 1).await;
        stream.finish().await;
        assert_eq!(stream.versions().len(), 1, "{}", stream.text);
        whole_count += usize::from(stream.is_whole());
    }
    assert!(site.engines[0].total_run_count() > 0);
    whole_count
}

#[tokio::test]
async fn a_stream_that_breaks_off_does_not_go_on_at_another_version() {
    let site =
        VersionedSite::launch(&[("v1", EAST), ("v1.2", EAST), ("v1.2", EAST), ("v1.2", EAST)])
            .await;
    break_off_first(&site);
    count_whole(&site, &[EAST]).await;
}

#[tokio::test]
async fn a_stream_that_breaks_off_goes_on_at_another_endpoint_of_its_version() {
    let site =
        VersionedSite::launch(&[("v1", EAST), ("v1.2", EAST), ("v1.2", EAST), ("v1", EAST)]).await;
    break_off_first(&site);
    assert_eq!(count_whole(&site, &[EAST]).await, STREAM_COUNT);
}

#[tokio::test]
async fn a_stream_that_breaks_off_goes_on_in_another_region_if_its_version_is_only_there() {
    let site = VersionedSite::launch(&[("v1", EAST), ("v1.2", EAST), ("v1", WEST)]).await;
    break_off_first(&site);
    assert_eq!(count_whole(&site, &[EAST, WEST]).await, STREAM_COUNT);
}

#[tokio::test]
async fn a_forwarded_stream_does_not_go_on_at_another_version() {
    let site = VersionedSite::launch(&[("v1", WEST), ("v1.2", WEST), ("v1.2", WEST)]).await;
    break_off_first(&site);
    count_whole(&site, &[EAST, WEST]).await;
}

#[tokio::test]
async fn a_forwarded_stream_whose_vm_is_killed_does_not_go_on_at_another_version() {
    let site = VersionedSite::launch(&[("v1", WEST), ("v1.2", WEST), ("v1.2", WEST)]).await;
    site.set_pause(Duration::from_millis(150));
    let mut vms = site.launch_vms(&[EAST, WEST, WEST]).await;
    let mut streams = Vec::new();
    for number in 0..STREAM_COUNT {
        streams.push(ClientStream::begin(&vms[0], &format!("r{number}"), 1).await);
    }
    drop(vms.pop());
    for stream in &mut streams {
        stream.finish().await;
        assert_eq!(stream.versions().len(), 1, "{}", stream.text);
    }
}

#[tokio::test]
async fn a_silent_stream_does_not_go_on_at_another_version() {
    let site = VersionedSite::launch(&[("v1", EAST), ("v1.2", EAST), ("v1.2", EAST)]).await;
    site.set_pause(Duration::from_millis(50));
    let vms = site.launch_vms(&[EAST]).await;
    for number in 0..4 {
        let mut stream = ClientStream::begin(&vms[0], &format!("r{number}"), 2).await;
        for engine in &site.engines {
            engine.fall_silent(Duration::from_millis(if engine.running_count() > 0 {
                2_500
            } else {
                0
            }));
        }
        stream.finish().await;
        assert_eq!(stream.versions().len(), 1, "{}", stream.text);
    }
}

#[tokio::test]
async fn a_retry_before_the_first_event_may_go_to_any_version() {
    let site = VersionedSite::launch(&[("v1", EAST), ("v1.2", EAST)]).await;
    site.engines[0].set_faults(EndpointFaults {
        truncated_event: Some(1),
        ..EndpointFaults::default()
    });
    assert_eq!(count_whole(&site, &[EAST]).await, STREAM_COUNT);
}

/// Registers the second engine with an odd version; checks that no stream is joined.
async fn check_odd_version(version: serde_json::Value) {
    let site = VersionedSite::launch(&[("v1", EAST), ("v1.2", EAST)]).await;
    site.engines[1].set_odd_version(version);
    let engine = &site.engines[1];
    site.store.put(&engine.key(), engine.record("ready"));
    break_off_first(&site);
    count_whole(&site, &[EAST]).await;
}

#[tokio::test]
async fn a_stream_does_not_go_on_at_an_endpoint_that_names_no_version() {
    check_odd_version(json!(null)).await;
}

#[tokio::test]
async fn a_stream_does_not_go_on_at_an_endpoint_whose_version_is_no_text() {
    check_odd_version(json!(["v1"])).await;
}

#[tokio::test]
async fn a_stream_does_not_go_on_at_an_endpoint_with_an_empty_version() {
    check_odd_version(json!("")).await;
}

#[tokio::test]
async fn versions_are_compared_to_their_end() {
    let site = VersionedSite::launch(&[("v1", EAST), ("v1.2", EAST)]).await;
    let long = "v".repeat(40_000);
    for (engine, end) in site.engines.iter().zip(["1", "2"]) {
        engine.set_odd_version(json!(format!("{long}{end}")));
        site.store.put(&engine.key(), engine.record("ready"));
    }
    break_off_first(&site);
    count_whole(&site, &[EAST]).await;
}

#[tokio::test]
async fn a_stream_does_not_go_on_at_an_endpoint_that_started_again_at_another_version() {
    let site = VersionedSite::launch(&[("v1", EAST), ("v1", EAST)]).await;
    site.set_pause(Duration::from_millis(100));
    let vms = site.launch_vms(&[EAST]).await;
    let mut streams = Vec::new();
    for number in 0..STREAM_COUNT {
        streams.push(ClientStream::begin(&vms[0], &format!("r{number}"), 1).await);
    }
    // The second engine starts again, and the first one breaks off before a VM has read that.
    let restarted = &site.engines[1];
    restarted.crash();
    sleep(Duration::from_millis(50)).await;
    restarted.set_version("v1.2");
    restarted.replace();
    restarted.restart("e1").await.expect("a start");
    site.store.put(&restarted.key(), restarted.record("ready"));
    sleep(Duration::from_millis(20)).await;
    site.engines[0].crash();
    for stream in &mut streams {
        stream.finish().await;
        assert_eq!(stream.versions().len(), 1, "{}", stream.text);
    }
}
