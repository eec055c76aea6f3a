//! VMs that reach no endpoint serve their callers through VMs that do.

use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::EndpointFaults;
use figramp::stand_in::deployment::LinkState;
use tokio::time::sleep;

use super::partitioned_site::served_count;
use super::partitioned_site::PartitionedSite;
use super::partitioned_site::PATHS;
use super::partitioned_site::STABLE_WINDOW;
use super::support::EAST;
use super::support::WEST;

const MEASURED_TIME: Duration = Duration::from_millis(3_000);

/// The time within which a refusal counts as prompt.
const PROMPT: Duration = Duration::from_millis(500);

/// Cuts the links of some VMs under load; checks that from the stable window on these serve at least two
/// thirds as often as the others, and that no unsafe request ran twice or was refused and ran.
async fn check_served(site: &PartitionedSite, cut: &[usize], state: LinkState, path: &'static str) {
    site.send(cut, path, Duration::from_millis(500)).await;
    for index in cut {
        site.vms[*index].set_links(state);
    }
    let mut requests = site.send(cut, path, STABLE_WINDOW).await;
    let measured = site.send(cut, path, MEASURED_TIME).await;
    let (served, count) = (served_count(&measured), measured.len());
    assert!(
        served * 3 >= count * 2 && count - served <= 10 + count / 50,
        "{path} {state:?}: served {served} of {count}, {measured:?}"
    );
    requests.extend(measured);
    for request in &requests {
        let runs = site.runs(&request.id);
        let may_repeat = path == PATHS[0] || path == PATHS[2];
        assert!(runs <= 1 || may_repeat, "{request:?} ran {runs} times");
        assert!(request.status != 503 || runs == 0, "{request:?} ran");
    }
}

async fn check_all_kinds(state: LinkState) {
    for path in PATHS {
        let site = PartitionedSite::launch(&[EAST], &[EAST; 4]).await;
        check_served(&site, &[0, 1], state, path).await;
    }
}

#[tokio::test]
async fn callers_are_served_if_the_links_of_two_vms_hang() {
    check_all_kinds(LinkState::Hung).await;
}

#[tokio::test]
async fn callers_are_served_if_the_links_of_two_vms_are_reset() {
    check_all_kinds(LinkState::Reset).await;
}

#[tokio::test]
async fn callers_are_served_if_two_vms_get_no_new_connections() {
    check_all_kinds(LinkState::NewReset).await;
}

#[tokio::test]
async fn callers_are_served_if_only_one_vm_of_five_has_links() {
    let site = PartitionedSite::launch(&[EAST], &[EAST; 5]).await;
    check_served(&site, &[0, 1, 2, 3], LinkState::Hung, PATHS[1]).await;
}

#[tokio::test]
async fn callers_are_served_in_another_region_if_all_vms_of_one_are_cut_off() {
    for state in [LinkState::Hung, LinkState::Reset] {
        let site = PartitionedSite::launch(&[EAST, WEST], &[EAST, EAST, WEST, WEST]).await;
        check_served(&site, &[0, 1], state, PATHS[1]).await;
    }
}

#[tokio::test]
async fn a_vm_of_another_region_that_is_cut_off_gets_no_forwards() {
    let site = PartitionedSite::launch(&[WEST], &[EAST, WEST, WEST, WEST]).await;
    for cut in &site.vms[1..3] {
        cut.set_links(LinkState::Hung);
    }
    site.send(&[0, 1, 2], PATHS[1], STABLE_WINDOW).await;
    let measured = site.send(&[0], PATHS[1], MEASURED_TIME).await;
    let (served, count) = (served_count(&measured), measured.len());
    assert!(served * 50 >= count * 49, "served {served} of {count}");
}

#[tokio::test]
async fn callers_are_served_if_the_vm_that_takes_the_forwards_loses_its_links_too() {
    let site = PartitionedSite::launch(&[EAST], &[EAST; 3]).await;
    site.vms[0].set_links(LinkState::Reset);
    site.send(&[0], PATHS[1], Duration::from_millis(2_000))
        .await;
    check_served(&site, &[0, 1], LinkState::Reset, PATHS[1]).await;
}

#[tokio::test]
async fn requests_are_refused_at_once_if_no_vm_has_links() {
    let site = PartitionedSite::launch(&[EAST], &[EAST; 3]).await;
    for cut in &site.vms {
        cut.set_links(LinkState::Reset);
    }
    site.send(&[0, 1, 2], PATHS[1], STABLE_WINDOW).await;
    let measured = site.send(&[0, 1, 2], PATHS[1], MEASURED_TIME).await;
    let prompt = measured.iter().filter(|request| request.took < PROMPT);
    let (prompt, count) = (prompt.count(), measured.len());
    assert!(prompt * 50 >= count * 49, "prompt {prompt} of {count}");
}

#[tokio::test]
async fn a_vm_serves_by_itself_soon_after_its_links_return() {
    let site = PartitionedSite::launch(&[EAST], &[EAST, EAST]).await;
    site.vms[0].set_links(LinkState::Hung);
    site.send(&[0], PATHS[1], STABLE_WINDOW).await;
    site.vms[0].set_links(LinkState::Up);
    sleep(Duration::from_millis(1_500)).await;
    // What is answered now does not come through the other VM.
    site.vms[1].set_links(LinkState::Reset);
    let measured = site.send(&[0], PATHS[1], MEASURED_TIME).await;
    let (served, count) = (served_count(&measured), measured.len());
    assert!(served * 50 >= count * 49, "served {served} of {count}");
}

#[tokio::test]
async fn a_forwarded_run_ends_soon_after_its_client_has_left() {
    let site = PartitionedSite::launch(&[EAST], &[EAST, EAST]).await;
    site.vms[0].set_links(LinkState::Hung);
    site.send(&[0], PATHS[0], STABLE_WINDOW).await;
    for endpoint in &site.endpoints {
        endpoint.set_faults(EndpointFaults {
            pause: Duration::from_millis(400),
            ..EndpointFaults::default()
        });
    }
    let request = site.vms[0].vm.post("/stream/x", "leaves");
    let response = request.send().await.expect("a head");
    drop(response);
    let left_at = Instant::now();
    sleep(Duration::from_millis(500)).await;
    let running: usize = site.endpoints.iter().map(|e| e.running_count()).sum();
    assert_eq!(running, 0, "after {:?}", left_at.elapsed());
}
