//! A client that takes a stream up at any VM gets events of the version that began it, or a refusal.

use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::StoreFault;
use tokio::time::sleep;

use super::support::EntryVm;
use super::support::EAST;
use super::support::NORTH;
use super::support::WEST;
use super::versioned_site::ClientStream;
use super::versioned_site::VersionedSite;
use super::versioned_site::GOSSIP_TIME;

const STREAM_COUNT: usize = 12;

const EVENT_PAUSE: Duration = Duration::from_millis(150);

/// The time within which a refusal counts as prompt.
const PROMPT: Duration = Duration::from_millis(700);

const TWO_VERSIONS: [(&str, &str); 4] =
    [("v1", EAST), ("v1", EAST), ("v1.2", EAST), ("v1.2", EAST)];

async fn launch(engines: &[(&str, &str)]) -> VersionedSite {
    let site = VersionedSite::launch(engines).await;
    site.set_pause(EVENT_PAUSE);
    site
}

/// Begins streams and reads the first event of each.
async fn begin(vm: &EntryVm) -> Vec<ClientStream> {
    let ids: Vec<String> = (0..STREAM_COUNT)
        .map(|number| format!("r{number}"))
        .collect();
    let streams = ids.iter().map(|id| ClientStream::begin(vm, id, 1));
    futures::future::join_all(streams).await
}

/// Reads what is left of streams that were broken off.
async fn finish(streams: &mut [ClientStream]) {
    for stream in streams {
        stream.finish().await;
        assert!(!stream.is_whole());
    }
}

/// Takes streams up at some VMs in turn; checks that none is joined from two versions and that
/// refusals are prompt. Returns how many are whole.
async fn take_up(streams: &mut [ClientStream], vms: &[&EntryVm], try_name: &str) -> usize {
    let tries = streams
        .iter_mut()
        .enumerate()
        .map(|(number, stream)| async move {
            let id = format!("{try_name}-{}", stream.origin);
            let sent_at = Instant::now();
            let status = stream.take_up(vms[number % vms.len()], &id).await;
            assert_eq!(stream.versions().len(), 1, "{}", stream.text);
            if status != 200 {
                assert_eq!(status, 503);
                assert!(sent_at.elapsed() < PROMPT, "{:?}", sent_at.elapsed());
            }
            usize::from(stream.is_whole())
        });
    futures::future::join_all(tries).await.into_iter().sum()
}

/// Kills all VMs and starts them again.
async fn restart(site: &VersionedSite, vms: Vec<EntryVm>, zones: &[&str]) -> Vec<EntryVm> {
    drop(vms);
    let ips: Vec<_> = zones.iter().map(|_| super::support::new_ip()).collect();
    let store = site.store.address();
    let vms = ips.iter().zip(zones);
    let vms: Vec<_> = vms
        .map(|(ip, zone)| EntryVm::start(*ip, zone, store, &ips))
        .collect();
    for vm in &vms {
        vm.wait_until(true).await;
    }
    vms
}

#[tokio::test]
async fn streams_of_a_killed_vm_go_on_at_other_vms_at_their_version() {
    let site = launch(&TWO_VERSIONS).await;
    let mut vms = site.launch_vms(&[EAST; 5]).await;
    let mut streams = begin(&vms[0]).await;
    drop(vms.remove(0));
    finish(&mut streams).await;
    let vms: Vec<&EntryVm> = vms.iter().collect();
    let whole_count = take_up(&mut streams, &vms, "a").await;
    assert!(whole_count * 2 >= STREAM_COUNT, "{whole_count}");
}

#[tokio::test]
async fn streams_go_on_at_the_vm_that_began_them() {
    let site = launch(&TWO_VERSIONS).await;
    let vms = site.launch_vms(&[EAST]).await;
    let mut streams = begin(&vms[0]).await;
    for stream in &mut streams {
        *stream = ClientStream::of(stream.origin.clone(), std::mem::take(&mut stream.text));
    }
    let whole_count = take_up(&mut streams, &[&vms[0]], "a").await;
    assert_eq!(whole_count, STREAM_COUNT);
}

#[tokio::test]
async fn streams_of_a_killed_region_go_on_in_another_one() {
    let site = launch(&[("v1", EAST), ("v1.2", EAST), ("v1", WEST), ("v1.2", WEST)]).await;
    let mut vms = site.launch_vms(&[EAST, EAST, WEST, WEST, NORTH]).await;
    let mut streams = begin(&vms[0]).await;
    drop(vms.drain(..2));
    for engine in &site.engines[..2] {
        engine.crash();
    }
    finish(&mut streams).await;
    let vms: Vec<&EntryVm> = vms.iter().collect();
    let whole_count = take_up(&mut streams, &vms[..2], "a").await;
    assert!(whole_count * 2 >= STREAM_COUNT, "{whole_count}");
}

#[tokio::test]
async fn a_stream_that_is_taken_up_twice_stays_at_its_version() {
    let site = launch(&TWO_VERSIONS).await;
    let mut vms = site.launch_vms(&[EAST; 5]).await;
    let mut streams = begin(&vms[0]).await;
    drop(vms.remove(0));
    finish(&mut streams).await;
    let second = vms.remove(0);
    for stream in &mut streams {
        let request = stream.take_up_request(&second, &format!("a-{}", stream.origin));
        let response = request.send().await.expect("an answer");
        if response.status() == 200 {
            stream.continue_with(response, 2).await;
        }
    }
    drop(second);
    for stream in &mut streams {
        stream.finish().await;
    }
    let vms: Vec<&EntryVm> = vms.iter().collect();
    let whole_count = take_up(&mut streams, &vms, "b").await;
    assert!(whole_count * 2 >= STREAM_COUNT, "{whole_count}");
}

#[tokio::test]
async fn streams_are_not_joined_after_all_vms_were_killed() {
    let site = launch(&TWO_VERSIONS).await;
    let vms = site.launch_vms(&[EAST; 3]).await;
    let mut streams = begin(&vms[0]).await;
    let vms = restart(&site, vms, &[EAST; 3]).await;
    finish(&mut streams).await;
    let vms: Vec<&EntryVm> = vms.iter().collect();
    take_up(&mut streams, &vms, "a").await;
    sleep(GOSSIP_TIME).await;
    take_up(&mut streams, &vms, "b").await;
}

#[tokio::test]
async fn streams_are_not_joined_if_their_version_left_while_all_vms_were_down() {
    let site = launch(&TWO_VERSIONS).await;
    let vms = site.launch_vms(&[EAST; 3]).await;
    let mut streams = begin(&vms[0]).await;
    for engine in &site.engines[..2] {
        site.store.remove(&engine.key());
    }
    let vms = restart(&site, vms, &[EAST; 3]).await;
    finish(&mut streams).await;
    let vms: Vec<&EntryVm> = vms.iter().collect();
    take_up(&mut streams, &vms, "a").await;
    sleep(GOSSIP_TIME).await;
    take_up(&mut streams, &vms, "b").await;
}

#[tokio::test]
async fn a_vm_that_has_just_started_learns_of_versions_that_left() {
    let mut site = launch(&[("v1", EAST), ("v1", EAST)]).await;
    let mut vms = site.launch_vms(&[EAST; 3]).await;
    let mut streams = begin(&vms[0]).await;
    drop(vms.remove(0));
    finish(&mut streams).await;
    site.add("v1.2", EAST).await;
    for engine in &site.engines[..2] {
        site.store.remove(&engine.key());
    }
    sleep(GOSSIP_TIME).await;
    let seed = vms[0].ip;
    let started = EntryVm::launch(super::support::new_ip(), EAST, &site.store, &[seed]).await;
    let whole_count = take_up(&mut streams, &[&started, &vms[0]], "a").await;
    assert_eq!(whole_count, 0);
}

#[tokio::test]
async fn streams_that_began_before_a_second_version_came_go_on() {
    let mut site = launch(&[("v1", EAST), ("v1", EAST)]).await;
    let mut vms = site.launch_vms(&[EAST; 4]).await;
    site.set_pause(Duration::from_millis(400));
    let mut streams = begin(&vms[0]).await;
    site.add("v1.2", EAST).await;
    site.add("v1.2", EAST).await;
    site.set_pause(EVENT_PAUSE);
    sleep(Duration::from_millis(1_400)).await;
    drop(vms.remove(0));
    finish(&mut streams).await;
    let vms: Vec<&EntryVm> = vms.iter().collect();
    let whole_count = take_up(&mut streams, &vms, "a").await;
    assert!(whole_count * 2 >= STREAM_COUNT, "{whole_count}");
}

#[tokio::test]
async fn streams_without_the_name_of_their_beginning_are_not_joined() {
    let site = launch(&TWO_VERSIONS).await;
    let vms = site.launch_vms(&[EAST; 2]).await;
    let mut streams = begin(&vms[0]).await;
    for stream in &mut streams {
        let text = std::mem::take(&mut stream.text);
        *stream = ClientStream::of(stream.origin.clone(), text);
        let request = vms[1].post("/stream/x", &format!("a-{}", stream.origin));
        let request = request.header("Last-Event-Id", "1");
        let response = request.send().await.expect("an answer");
        if response.status() == 200 {
            stream.continue_with(response, 6).await;
        }
        assert_eq!(stream.versions().len(), 1, "{}", stream.text);
    }
}

#[tokio::test]
async fn two_clients_with_the_same_identifier_get_no_joined_streams() {
    let site = launch(&TWO_VERSIONS).await;
    let vms = site.launch_vms(&[EAST; 3]).await;
    for number in 0..STREAM_COUNT {
        let id = format!("r{number}");
        let streams = [0, 1, 0, 1].map(|vm| ClientStream::begin(&vms[vm], &id, 1));
        let streams = futures::future::join_all(streams).await;
        let mut streams: Vec<ClientStream> = streams
            .into_iter()
            .map(|stream| ClientStream::of(id.clone(), stream.text))
            .collect();
        take_up(&mut streams, &[&vms[2]], "a").await;
    }
}

#[tokio::test]
async fn a_vm_that_cannot_learn_of_new_versions_joins_no_streams() {
    // The VM that is cut off reads a store of its own, which falls silent.
    let old_site = launch(&[("v1", EAST), ("v1", EAST)]).await;
    let cut_off = old_site.launch_vms(&[EAST]).await;
    old_site.store.set_fault(StoreFault::Silent);
    let site = launch(&[("v1.2", EAST), ("v1.2", EAST)]).await;
    let in_touch = site.launch_vms(&[EAST]).await;
    let mut streams = begin(&in_touch[0]).await;
    drop(in_touch);
    finish(&mut streams).await;
    take_up(&mut streams, &[&cut_off[0]], "a").await;
}
