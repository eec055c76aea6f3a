//! A request that crashes each endpoint which runs it is kept from the endpoints.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use figramp::stand_in::deployment::CrashingRequest;
use parking_lot::Mutex;
use tokio::task::JoinHandle;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::timeout;

use super::crash_site::CrashSite;
use super::crash_site::STABLE_WINDOW;
use super::support::EntryVm;
use super::support::EAST;
use super::support::NORTH;
use super::support::WEST;

const PAUSE: Duration = Duration::from_millis(20);
const RESTART_DELAY: Duration = Duration::from_millis(2_000);

/// The pause between two repeats of the crashing request, over all VMs.
const CRASHING_PERIOD: Duration = Duration::from_millis(200);

/// The pause between two sound requests, over all VMs.
const SOUND_PERIOD: Duration = Duration::from_millis(25);

/// The number of crashes after which a request may reach only a few endpoints more.
const CRASH_LIMIT: usize = 3;

/// The number of repeats that may reach endpoints late.
const LATE_ARRIVALS_MAX: usize = 3;

/// The time for which a check lasts once its bound holds.
const CHECK_TIME: Duration = Duration::from_secs(3);

/// The longest wait for the crashes that a check counts from.
const CRASHES_WAIT_MAX: Duration = Duration::from_secs(20);

/// The time after crashes until the endpoints are listed and trusted again.
const RECOVERY_TIME: Duration = Duration::from_millis(3_000);

const CRASHING_BODY: &str = "crash";

/// The smallest number of sound requests of a class that a fraction is computed from.
const SOUND_MIN: usize = 15;

/// The classes of sound requests: the crashing one's path with a body of its own, the same with one
/// body, and its body under another path.
const SOUND_CLASS_COUNT: usize = 3;

#[derive(Clone, Copy, Debug)]
struct SoundResult {
    sent_at: Instant,
    class: usize,
    is_served: bool,
}

async fn launch(route: &str) -> Arc<CrashSite> {
    let crashing = CrashingRequest {
        path: crashing_path(route),
        body: Bytes::from(CRASHING_BODY),
    };
    CrashSite::launch_three_regions(vec![crashing], PAUSE, RESTART_DELAY).await
}

fn crashing_path(route: &str) -> String {
    format!("/{route}/x")
}

async fn send_crashing(vm: &EntryVm, route: &str, id: &str) -> Option<u16> {
    let request = vm.post(&crashing_path(route), id).body(CRASHING_BODY);
    let answer = request.send().await.ok()?;
    let status = answer.status().as_u16();
    let _ = answer.bytes().await;
    Some(status)
}

/// Sends the crashing request at these VMs in turn until it is aborted.
fn repeat_crashing(vms: Vec<Arc<EntryVm>>, route: &'static str) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut period = interval(CRASHING_PERIOD);
        for number in 0.. {
            period.tick().await;
            let vm = Arc::clone(&vms[number % vms.len()]);
            tokio::spawn(async move {
                send_crashing(&vm, route, &format!("c-{number}")).await;
            });
        }
    })
}

async fn send_sound(vm: &EntryVm, route: &str, number: usize) -> SoundResult {
    let class = number % SOUND_CLASS_COUNT;
    let (path, body) = match class {
        0 => (crashing_path(route), format!("sound {number}")),
        1 => (crashing_path(route), "sound".to_owned()),
        _ => (format!("/{route}/y"), CRASHING_BODY.to_owned()),
    };
    let sent_at = Instant::now();
    let request = vm.post(&path, &format!("s-{number}")).body(body);
    let is_served = match request.send().await {
        Ok(answer) => answer.status() == 200 && answer.bytes().await.is_ok(),
        Err(_) => false,
    };
    SoundResult {
        sent_at,
        class,
        is_served,
    }
}

/// Sends sound requests at these VMs in turn until it is aborted; returns the growing list of
/// results.
fn repeat_sound(
    vms: Vec<Arc<EntryVm>>,
    route: &'static str,
) -> (Arc<Mutex<Vec<SoundResult>>>, JoinHandle<()>) {
    let results = Arc::new(Mutex::new(Vec::new()));
    let written = Arc::clone(&results);
    let task = tokio::spawn(async move {
        let mut period = interval(SOUND_PERIOD);
        for number in 0.. {
            period.tick().await;
            // Each class goes to each VM.
            let vm = Arc::clone(&vms[(number / SOUND_CLASS_COUNT) % vms.len()]);
            let written = Arc::clone(&written);
            tokio::spawn(async move {
                let result = send_sound(&vm, route, number).await;
                written.lock().push(result);
            });
        }
    });
    (results, task)
}

fn served_fraction(results: &[SoundResult], class: usize, from: Instant, until: Instant) -> f64 {
    let in_period: Vec<&SoundResult> = results
        .iter()
        .filter(|result| result.class == class && result.sent_at > from && result.sent_at < until)
        .collect();
    assert!(in_period.len() >= SOUND_MIN, "{} requests", in_period.len());
    let served = in_period.iter().filter(|result| result.is_served).count();
    served as f64 / in_period.len() as f64
}

/// Waits until `delay` has passed since the third crash, or since the last of fewer; returns the
/// time of that crash.
async fn wait_after_limit(site: &CrashSite, delay: Duration) -> Instant {
    let wait = async {
        loop {
            sleep(Duration::from_millis(5)).await;
            let crashes = site.crashes();
            let limit_reached_at = crashes.get(CRASH_LIMIT - 1).or(crashes.last());
            if let Some(at) = limit_reached_at.filter(|at| at.elapsed() >= delay) {
                return *at;
            }
        }
    };
    let waited = timeout(CRASHES_WAIT_MAX, wait).await;
    waited.expect("the crashes come in time")
}

fn check_late_arrivals(site: &CrashSite, limit_reached_at: Instant) {
    let arrivals = site.crashing_request_arrivals();
    let late = arrivals
        .iter()
        .filter(|at| **at > limit_reached_at + STABLE_WINDOW)
        .count();
    let crash_count = site.crashes().len();
    assert!(
        late <= LATE_ARRIVALS_MAX,
        "{late} repeats reached endpoints late, {crash_count} crashes in all"
    );
}

/// Repeats a crashing request on a route, and checks that few reach endpoints late and that sound
/// ones are served.
async fn check_route(route: &'static str) {
    let site = launch(route).await;
    let vms = site.launch_vms([EAST, WEST, NORTH]).await;
    let (results, sound) = repeat_sound(vms.to_vec(), route);
    let started = Instant::now();
    sleep(CHECK_TIME).await;
    let first_sent_at = Instant::now();
    let crashing = repeat_crashing(vms.to_vec(), route);
    let observed = STABLE_WINDOW * 2 + CHECK_TIME;
    let limit_reached_at = wait_after_limit(&site, observed).await;
    let until = Instant::now();
    check_late_arrivals(&site, limit_reached_at);
    sleep(Duration::from_secs(1)).await;
    crashing.abort();
    sound.abort();
    let results = results.lock().clone();
    for class in 0..SOUND_CLASS_COUNT {
        let before = served_fraction(&results, class, started, first_sent_at);
        let after = served_fraction(&results, class, limit_reached_at + STABLE_WINDOW * 2, until);
        assert!(before > 0.9, "class {class}: {before} served before");
        assert!(
            after >= before / 2.0,
            "class {class}: {after} served, {before} before"
        );
    }
}

#[tokio::test]
async fn a_repeated_safe_request_does_not_keep_crashing_endpoints() {
    check_route("read").await;
}

#[tokio::test]
async fn a_repeated_unsafe_request_does_not_keep_crashing_endpoints() {
    check_route("book").await;
}

#[tokio::test]
async fn a_repeated_resumable_stream_does_not_keep_crashing_endpoints() {
    check_route("stream").await;
}

#[tokio::test]
async fn a_repeated_stream_that_cannot_be_resumed_does_not_keep_crashing_endpoints() {
    check_route("tip-stream").await;
}

/// Waits for the time in which a VM must learn of the request; its repeats end before, so that all
/// endpoints run.
async fn end_repeats_at_others(crashing: &JoinHandle<()>) {
    sleep(STABLE_WINDOW - RECOVERY_TIME).await;
    crashing.abort();
    sleep(RECOVERY_TIME).await;
}

/// Checks that a VM refuses the crashing request as not run while it serves a sound one.
async fn check_refuses(site: &CrashSite, vm: &EntryVm, route: &str) {
    assert!(send_sound(vm, route, 0).await.is_served);
    for number in 0..4 {
        let id = format!("d-{number}");
        let status = send_crashing(vm, route, &id).await;
        assert_eq!((status, site.runs(&id)), (Some(503), 0), "{id}");
    }
}

#[tokio::test]
async fn a_vm_that_was_killed_and_started_again_learns_of_the_request() {
    let route = "book";
    let site = launch(route).await;
    let [east, west, north] = site.launch_vms([EAST, WEST, NORTH]).await;
    let crashing = repeat_crashing(vec![Arc::clone(&east), Arc::clone(&west)], route);
    let limit_reached_at = wait_after_limit(&site, Duration::from_secs(1)).await;
    let ip = north.ip;
    drop(north);
    let restarted = EntryVm::launch(ip, NORTH, &site.store, &[east.ip]).await;
    end_repeats_at_others(&crashing).await;
    check_refuses(&site, &restarted, route).await;
    check_late_arrivals(&site, limit_reached_at);
}

#[tokio::test]
async fn a_vm_that_was_stopped_during_the_crashes_learns_of_the_request() {
    let route = "read";
    let site = launch(route).await;
    let [east, west, stopped] = site.launch_vms([EAST, WEST, NORTH]).await;
    stopped.signal("-STOP");
    let crashing = repeat_crashing(vec![Arc::clone(&east), Arc::clone(&west)], route);
    let limit_reached_at = wait_after_limit(&site, Duration::from_secs(4)).await;
    stopped.signal("-CONT");
    end_repeats_at_others(&crashing).await;
    check_refuses(&site, &stopped, route).await;
    check_late_arrivals(&site, limit_reached_at);
}

#[tokio::test]
async fn a_request_that_crashed_endpoints_before_is_not_retried_after_another_crash() {
    let route = "read";
    let site = launch(route).await;
    let [east, _west, _north] = site.launch_vms([EAST, WEST, NORTH]).await;
    send_crashing(&east, route, "first").await;
    sleep(RESTART_DELAY + Duration::from_secs(1)).await;
    send_crashing(&east, route, "second").await;
    assert_eq!(site.runs("second"), 1);
}
