//! What VMs conclude from idle connections, of which some end without their engines and some not before them.

use std::time::Duration;

use tokio::time::sleep;

use super::restart_site::cold_load;
use super::restart_site::ms;
use super::restart_site::Load;
use super::restart_site::RestartSite;
use super::restart_site::COLD_TIME;
use super::restart_site::ENGINE_COUNT;
use super::restart_site::IDLE_TIME;
use super::restart_site::LOAD_TIME_BEFORE;
use super::restart_site::RARE_BURSTS;
use super::restart_site::REGISTRATION_DELAY;

/// Requests that leave each daemon idle for 3 s.
const FEW_REQUESTS: Load = Load {
    burst: 1,
    interval: Duration::from_millis(125),
};

#[tokio::test]
async fn bursts_after_an_outage_in_which_no_vm_has_a_connection() {
    let site = RestartSite::launch(ENGINE_COUNT, true).await;
    site.send(Load::BURSTS_OF_FOUR, LOAD_TIME_BEFORE).await;
    let engine = site.busiest_engines()[0];
    sleep(IDLE_TIME).await;
    let restarted_at = site.restart(engine, ms(1_200)).await;
    let list = site.list(engine, restarted_at, REGISTRATION_DELAY);
    tokio::join!(list, site.send(Load::BURSTS_OF_FOUR, COLD_TIME));
    let seen = cold_load(engine, restarted_at);
    println!("{seen:?}; {:?}", site.take_answers().await);
    seen.check();
}

/// Checks engines that close idle connections early, and don't say so as the time is under a second.
async fn check_idle_timeout(load: Load) {
    let site = RestartSite::launch(ENGINE_COUNT, true).await;
    for engine in site.engines() {
        engine.set_idle_timeout(ms(800));
    }
    site.send(load, 2 * LOAD_TIME_BEFORE).await;
    let answers = site.take_answers().await;
    println!("{answers:?}");
    assert_eq!((answers.refused, answers.late), (0, 0), "{answers:?}");
}

#[tokio::test]
async fn an_idle_timeout_under_a_second_is_no_restart() {
    check_idle_timeout(Load::SINGLE).await;
}

#[tokio::test]
async fn an_idle_timeout_under_a_second_is_no_restart_with_few_requests() {
    check_idle_timeout(FEW_REQUESTS).await;
}

#[tokio::test]
async fn an_idle_timeout_under_a_second_is_no_restart_with_bursts() {
    check_idle_timeout(RARE_BURSTS).await;
}
