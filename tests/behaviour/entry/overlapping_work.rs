//! Streams that go on at another endpoint leave the one before in time.

use std::time::Duration;

use figramp::stand_in::deployment::EndpointFaults;
use figramp::stand_in::deployment::EndpointServer;
use figramp::stand_in::deployment::RepeatingRefuser;
use figramp::stand_in::deployment::Work;
use tokio::time::sleep;

use super::processor_quota::ProcessorQuota;
use super::region_link::LinkEnd;
use super::region_link::RegionLink;
use super::support::any_port;
use super::support::new_ip;
use super::support::EntryVm;
use super::support::PeerPorts;
use super::support::Site;
use super::support::EAST;
use super::support::PEER_PORTS;
use super::support::WEST;
use super::work_overlap::longest_overlap;
use super::work_overlap::OVERLAP_MAX;

/// The run time of a daemon in each tenth of a second.
const RUN_TIME: Duration = Duration::from_millis(17);

/// The delay between two regions, one way.
const LINK_DELAY: Duration = Duration::from_millis(55);

const EAST_PORTS: PeerPorts = PeerPorts {
    first: 7700,
    last: 7715,
    control: 8329,
};

/// The time after which the next endpoint answers.
const HEAD_DELAY: Duration = Duration::from_millis(900);

const REFUSED_STREAMS: usize = 12;

/// Longer than an endpoint that refused is avoided.
const REFUSED_INTERVAL: Duration = Duration::from_millis(80);

const STREAMS: usize = 12;
const PAUSE: Duration = Duration::from_millis(200);
const GOSSIP_TIME: Duration = Duration::from_millis(2_500);
const SILENCE: Duration = Duration::from_millis(3_000);

/// The time after which the stream has events.
const BEGUN: Duration = Duration::from_millis(900);

fn faults(head_delay: Duration) -> EndpointFaults {
    EndpointFaults {
        pause: PAUSE,
        head_delay,
        ..EndpointFaults::default()
    }
}

/// Sends streams from one region to an endpoint of another, which then falls silent; returns the longest
/// time for which it and the next endpoint worked on one request.
///
/// With a phase, both daemons run for a part of each tenth of a second, the client's later by the phase.
async fn overlap_of_a_forwarded_stream(phase: Option<Duration>) -> Duration {
    let site = Site::launch(WEST).await;
    site.store.remove(&site.engines[1].key());
    let silent = &site.engines[0];
    silent.set_faults(faults(Duration::ZERO));
    let next = EndpointServer::launch(any_port(), "e3", "engine", EAST).await;
    let next = next.expect("an endpoint");
    next.set_faults(faults(HEAD_DELAY));
    let (east, west) = (new_ip(), new_ip());
    let ends = [(east, EAST_PORTS), (west, PEER_PORTS)].map(|(ip, ports)| LinkEnd { ip, ports });
    let _link = RegionLink::launch(ends, LINK_DELAY).await;
    let store = site.store.address();
    let remote = EntryVm::start_on(PEER_PORTS, west, WEST, store, &[east]);
    let local = EntryVm::start_on(EAST_PORTS, east, EAST, store, &[west]);
    remote.wait_until(true).await;
    local.wait_until(true).await;
    sleep(GOSSIP_TIME).await;
    let mut quotas = Vec::new();
    if let Some(phase) = phase {
        quotas.push(ProcessorQuota::impose(remote.process_id(), RUN_TIME));
        sleep(phase).await;
        quotas.push(ProcessorQuota::impose(local.process_id(), RUN_TIME));
    }
    let mut answers = Vec::new();
    for number in 0..STREAMS {
        let request = local
            .post("/stream/x", &format!("r{number}"))
            .header("Timeout-Ms", "4000");
        answers.push(tokio::spawn(async move {
            let answer = request.send().await.ok()?.error_for_status().ok()?;
            answer.text().await.ok()
        }));
        sleep(Duration::from_millis(7)).await;
    }
    sleep(BEGUN).await;
    site.store.put(&next.key(), next.record("ready"));
    silent.fall_silent(SILENCE);
    for answer in answers {
        let _ = answer.await;
    }
    drop(quotas);
    assert!(next.total_run_count() > 0, "no stream went on elsewhere");
    let endpoints = [silent, &next];
    let works: Vec<Work> = endpoints
        .iter()
        .flat_map(|endpoint| endpoint.works())
        .collect();
    longest_overlap(&works)
}

/// Guards against two endpoints that work on one request for too long, as the VM that asked the first one
/// learns late that its answer is not wanted any more.
#[tokio::test]
async fn a_silent_endpoint_of_another_region_is_left_in_time_by_vms_under_a_quota() {
    for phase_ms in [50, 75] {
        let phase = Some(Duration::from_millis(phase_ms));
        let longest = overlap_of_a_forwarded_stream(phase).await;
        assert!(longest <= OVERLAP_MAX, "phase {phase_ms} ms: {longest:?}");
    }
}

#[tokio::test]
async fn a_silent_endpoint_of_another_region_is_left_in_time() {
    let longest = overlap_of_a_forwarded_stream(None).await;
    assert!(longest <= OVERLAP_MAX, "{longest:?}");
}

/// Guards against a refusal of another request that leaves the endpoint at work on this one.
#[tokio::test]
async fn an_endpoint_whose_refusal_may_be_of_another_request_is_left_in_time() {
    let site = Site::launch(EAST).await;
    let work_time = OVERLAP_MAX * 2;
    let mut refusers = Vec::new();
    for engine in &site.engines {
        let refuser = RepeatingRefuser::launch_unidentified(any_port(), work_time).await;
        let refuser = refuser.expect("an endpoint");
        let record = engine.record_at(refuser.address(), "ready");
        site.store.put(&engine.key(), record);
        refusers.push(refuser);
    }
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    for number in 0..REFUSED_STREAMS {
        let _ = vm.post("/stream/x", &format!("r{number}")).send().await;
        sleep(REFUSED_INTERVAL).await;
    }
    sleep(work_time).await;
    let works: Vec<Work> = refusers.iter().flat_map(RepeatingRefuser::works).collect();
    assert!(!works.is_empty());
    for work in works {
        let until = work.until.expect("the work has ended");
        let time = until - work.from;
        assert!(time <= OVERLAP_MAX, "{}: {time:?}", work.request_id);
    }
}
