//! Daemons that together send an endpoint that has started again under its identifier no more than a cold one
//! tolerates, before the store lists its new start.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::EndpointFaults;
use tokio::time::sleep;

use super::cold_load::cold_record;
use super::cold_load::most_in_one_second;
use super::cold_load::send_bursts;
use super::cold_load::send_streams;
use super::support::configuration;
use super::support::new_ip;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;
use super::support::KEY;

const VM_COUNT: usize = 24;

const COLD_RATE_PER_S: f64 = 4.2;

/// The requests that a cold engine may get in one second: 1.5 times its rate, and 3 more.
const BOUND_PER_S: usize = 9;

/// The load before the outage.
const LOAD_TIME_BEFORE: Duration = Duration::from_secs(6);

/// The load from the start of the outage, without its length.
const LOAD_TIME_AFTER: Duration = Duration::from_secs(4);

const COLD_MS: u64 = 3_000;

/// How long an endpoint that has started again is not in the store with its new start.
const REGISTRATION_DELAY: Duration = Duration::from_millis(1_000);

const EVENT_PAUSE: Duration = Duration::from_millis(20);

/// Longer than the wait that is assumed of an engine that has not answered yet, so that both are used.
const HEAD_DELAY: Duration = Duration::from_millis(60);

const BURST_INTERVAL: Duration = Duration::from_millis(100);

/// Each of the VMs has a burst every 6 s, and keeps idle connections for 4 s.
const RARE_BURST_INTERVAL: Duration = Duration::from_millis(250);

/// Longer than idle connections are kept.
const PAUSE: Duration = Duration::from_millis(6_000);

/// How requests come to the VMs.
#[derive(Clone, Copy)]
enum Load {
    Single,
    Bursts,
    /// Each VM has no requests for so long that it closes its connections.
    RareBursts,
    /// There is no request for so long that all VMs close their connections, until the endpoint is back.
    AfterPause,
    /// One VM has requests before the outage, and all have bursts in it.
    OneVmBefore,
}

impl Load {
    async fn send(self, vms: &[Arc<EntryVm>], time: Duration) {
        match self {
            Self::Single | Self::AfterPause => send_streams(vms, time).await,
            Self::Bursts | Self::OneVmBefore => send_bursts(vms, 4, BURST_INTERVAL, time).await,
            Self::RareBursts => send_bursts(vms, 4, RARE_BURST_INTERVAL, time).await,
        }
    }
}

/// Starts daemons of one region; each knows all others as seeds, or only itself.
async fn launch_vms(site: &Site, know_each_other: bool) -> Vec<Arc<EntryVm>> {
    let ips: Vec<Ipv4Addr> = (0..VM_COUNT).map(|_| new_ip()).collect();
    let store = site.store.address();
    let start = |ip| {
        let own = [ip];
        let seeds = if know_each_other { &ips[..] } else { &own };
        Arc::new(EntryVm::start(ip, EAST, store, seeds))
    };
    let vms: Vec<_> = ips.iter().map(|ip| start(*ip)).collect();
    for vm in &vms {
        vm.wait_until(true).await;
    }
    sleep(Duration::from_millis(3_200)).await;
    vms
}

/// Returns the most requests in one second at an engine that is down for the outage and then cold.
async fn most_after_outage(outage: Duration, load: Load, know_each_other: bool) -> usize {
    let site = Site::launch(EAST).await;
    for engine in &site.engines {
        engine.set_faults(EndpointFaults {
            reports_load: true,
            head_delay: HEAD_DELAY,
            pause: EVENT_PAUSE,
            ..EndpointFaults::default()
        });
    }
    let mut configuration = configuration(2, &[KEY]);
    configuration["services"][1]["coldPerS"] = COLD_RATE_PER_S.into();
    site.store.put("op/config", configuration.to_string());
    let vms = launch_vms(&site, know_each_other).await;
    match load {
        Load::OneVmBefore => send_streams(&vms[..1], LOAD_TIME_BEFORE).await,
        _ => load.send(&vms, LOAD_TIME_BEFORE).await,
    }
    if let Load::AfterPause = load {
        sleep(PAUSE).await;
    }
    let engine = &site.engines[0];
    assert!(engine.arrival_count() > 0, "the engine was used");
    let restart = async {
        engine.crash();
        sleep(outage).await;
        engine.replace();
        engine.restart("e1").await.expect("the engine restarts");
        let restarted_at = Instant::now();
        sleep(REGISTRATION_DELAY).await;
        let cold_ms = COLD_MS - REGISTRATION_DELAY.as_millis() as u64;
        site.store.put(&engine.key(), cold_record(engine, cold_ms));
        restarted_at
    };
    let load = async {
        if let Load::AfterPause = load {
            sleep(outage).await;
        }
        load.send(&vms, outage + LOAD_TIME_AFTER).await;
    };
    let (restarted_at, ()) = tokio::join!(restart, load);
    let cold_until = restarted_at + Duration::from_millis(COLD_MS);
    most_in_one_second(engine, restarted_at..cold_until)
}

#[tokio::test]
async fn an_endpoint_that_was_down_for_50_ms_is_not_flooded() {
    let most = most_after_outage(Duration::from_millis(50), Load::Single, true).await;
    assert!(most <= BOUND_PER_S, "{most}");
}

#[tokio::test]
async fn an_endpoint_that_was_down_for_200_ms_is_not_flooded() {
    let most = most_after_outage(Duration::from_millis(200), Load::Single, true).await;
    assert!(most <= BOUND_PER_S, "{most}");
}

#[tokio::test]
async fn vms_that_know_no_other_do_not_flood_an_endpoint_that_was_down_for_200_ms() {
    let most = most_after_outage(Duration::from_millis(200), Load::Single, false).await;
    assert!(most <= BOUND_PER_S, "{most}");
}

#[tokio::test]
async fn bursts_do_not_flood_an_endpoint_that_was_down_while_most_vms_sent_nothing() {
    let most = most_after_outage(Duration::from_millis(1_200), Load::Bursts, true).await;
    assert!(most <= BOUND_PER_S, "{most}");
}

#[tokio::test]
async fn vms_without_connections_do_not_flood_an_endpoint_that_was_down_for_200_ms() {
    let most = most_after_outage(Duration::from_millis(200), Load::RareBursts, true).await;
    assert!(most <= BOUND_PER_S, "{most}");
}

#[tokio::test]
async fn vms_without_connections_do_not_flood_an_endpoint_that_was_down_for_1200_ms() {
    let most = most_after_outage(Duration::from_millis(1_200), Load::RareBursts, true).await;
    assert!(most <= BOUND_PER_S, "{most}");
}

#[tokio::test]
async fn an_endpoint_that_was_down_for_200_ms_while_nobody_used_it_is_not_flooded() {
    let most = most_after_outage(Duration::from_millis(200), Load::AfterPause, true).await;
    assert!(most <= BOUND_PER_S, "{most}");
}

#[tokio::test]
async fn vms_that_hear_of_an_outage_of_200_ms_from_others_do_not_flood_the_endpoint() {
    let most = most_after_outage(Duration::from_millis(200), Load::OneVmBefore, true).await;
    assert!(most <= BOUND_PER_S, "{most}");
}
