//! Daemons that together send an endpoint that has started again under its identifier no more than a cold one
//! tolerates, before the store lists its new start.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use super::cold_load::cold_record;
use super::cold_load::most_in_one_second;
use super::cold_load::send_bursts;
use super::cold_load::send_streams;
use super::restart_site::engine_faults;
use super::restart_site::launch_vms;
use super::restart_site::BOUND_PER_S;
use super::restart_site::COLD_MS;
use super::restart_site::COLD_RATE_PER_S;
use super::support::configuration;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;
use super::support::KEY;

/// The load before the outage.
const LOAD_TIME_BEFORE: Duration = Duration::from_secs(6);

/// The load from the start of the outage, without its length.
const LOAD_TIME_AFTER: Duration = Duration::from_secs(4);

/// How long an endpoint that has started again is not in the store with its new start.
const REGISTRATION_DELAY: Duration = Duration::from_millis(1_000);

/// The requests that come to a VM at the same time.
#[derive(Clone, Copy)]
enum Load {
    Single,
    BurstsOfFour,
}

impl Load {
    async fn send(self, vms: &[Arc<EntryVm>], time: Duration) {
        match self {
            Self::Single => send_streams(vms, time).await,
            Self::BurstsOfFour => send_bursts(vms, 4, time).await,
        }
    }
}

/// Returns the most requests in one second at an engine that is down for the outage and then cold.
async fn most_after_outage(outage: Duration, load: Load, know_each_other: bool) -> usize {
    let site = Site::launch(EAST).await;
    for engine in &site.engines {
        engine.set_faults(engine_faults());
    }
    let mut configuration = configuration(2, &[KEY]);
    configuration["services"][1]["coldPerS"] = COLD_RATE_PER_S.into();
    site.store.put("op/config", configuration.to_string());
    let vms = launch_vms(&site, know_each_other).await;
    let vms: Vec<_> = vms.into_iter().map(Arc::new).collect();
    load.send(&vms, LOAD_TIME_BEFORE).await;
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
    let load = load.send(&vms, outage + LOAD_TIME_AFTER);
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
    let most = most_after_outage(Duration::from_millis(1_200), Load::BurstsOfFour, true).await;
    assert!(most <= BOUND_PER_S, "{most}");
}
