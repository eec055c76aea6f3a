//! A part of a prompt that crashes each engine which begins to answer is kept from the engines.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use tokio::task::JoinHandle;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::timeout;

use super::crash_site::crashing_request;
use super::crash_site::send_sound;
use super::crash_site::CrashSite;
use super::crash_site::SoundResult;
use super::crash_site::SOUND_CLASS_COUNT;
use super::crash_site::STABLE_WINDOW;
use super::processor_quota::ProcessorQuota;
use super::support::new_ip;
use super::support::EntryVm;
use super::support::EAST;
use super::support::WEST;

const EVENT_PAUSE: Duration = Duration::from_millis(20);
const RESTART_DELAY: Duration = Duration::from_millis(1_500);

/// The pause between two requests with the crashing part, over all VMs.
const CRASHING_PERIOD: Duration = Duration::from_millis(150);

/// The pause between two sound requests, over all VMs.
const SOUND_PERIOD: Duration = Duration::from_millis(20);

/// The number of requests with a crashing part that may reach engines late.
const LATE_ARRIVALS_MAX: usize = 3;

/// The time for which a check lasts once its bound holds.
const CHECK_TIME: Duration = Duration::from_secs(3);

/// The longest wait for the crashes that a check counts from, with the time that it adds to them.
const CRASHES_MAX: Duration = Duration::from_secs(20);

/// The smallest number of sound requests of a class that a fraction is computed from.
const SOUND_MIN: usize = 20;

/// The pause before each event while engines die, so that streams have a head and no event.
const SLOW_EVENT_PAUSE: Duration = Duration::from_millis(400);
const OUTAGE_TIME: Duration = Duration::from_millis(500);

/// The part of each tenth of a second in which a VM under a quota runs.
const QUOTA_RUN_TIME: Duration = Duration::from_millis(17);

/// The time by which the quotas of VMs begin one after the other.
const QUOTA_OFFSET: Duration = Duration::from_millis(33);

/// The time after crashes until the engines are listed and trusted again.
const RECOVERY_TIME: Duration = Duration::from_millis(2_500);

/// Sends requests with the crashing part at these VMs in turn until it is aborted.
fn send_crashing(vms: Vec<Arc<EntryVm>>) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut period = interval(CRASHING_PERIOD);
        for number in 0.. {
            period.tick().await;
            let (_, request) = crashing_request(&vms[number % vms.len()], "c", number);
            tokio::spawn(async move {
                if let Ok(answer) = request.send().await {
                    let _ = answer.bytes().await;
                }
            });
        }
    })
}

/// Sends sound requests at these VMs in turn until it is aborted; returns the growing list of
/// results.
fn send_sound_continuously(
    vms: Vec<Arc<EntryVm>>,
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
                let result = send_sound(&vm, "50", number).await;
                written.lock().push(result);
            });
        }
    });
    (results, task)
}

/// Returns the fraction of the requests of a class, sent in a period, whose answer began.
fn begun_fraction(results: &[SoundResult], class: usize, from: Instant, until: Instant) -> f64 {
    let in_period: Vec<&SoundResult> = results
        .iter()
        .filter(|result| result.class == class && result.sent_at > from && result.sent_at < until)
        .collect();
    assert!(in_period.len() >= SOUND_MIN, "{} requests", in_period.len());
    let begun = in_period.iter().filter(|result| result.has_begun).count();
    begun as f64 / in_period.len() as f64
}

#[tokio::test]
async fn requests_with_a_crashing_part_do_not_keep_crashing_endpoints() {
    let site = CrashSite::launch(EVENT_PAUSE, RESTART_DELAY).await;
    let vms = site.launch_vms([EAST, EAST, WEST]).await;
    let (_, sound) = send_sound_continuously(vms.to_vec());
    let crashing = send_crashing(vms.to_vec());
    let observed = STABLE_WINDOW + CHECK_TIME;
    let limit_reached_at = site.wait_after_limit(observed, CRASHES_MAX).await;
    let late = site.crashing_arrivals_after(limit_reached_at + STABLE_WINDOW);
    let crash_count = site.crashes().len();
    assert!(
        late <= LATE_ARRIVALS_MAX,
        "{late} requests reached engines late, {crash_count} crashes in all"
    );
    crashing.abort();
    sound.abort();
}

#[tokio::test]
async fn sound_requests_with_the_key_and_parts_of_crashing_ones_are_served() {
    let site = CrashSite::launch(EVENT_PAUSE, RESTART_DELAY).await;
    let vms = site.launch_vms([EAST, EAST, WEST]).await;
    let (results, sound) = send_sound_continuously(vms.to_vec());
    let started = Instant::now();
    sleep(CHECK_TIME).await;
    let first_sent_at = Instant::now();
    let crashing = send_crashing(vms.to_vec());
    let observed = STABLE_WINDOW * 2 + CHECK_TIME;
    let limit_reached_at = site.wait_after_limit(observed, CRASHES_MAX).await;
    let until = Instant::now();
    sleep(Duration::from_secs(1)).await;
    let results = results.lock().clone();
    for class in 0..SOUND_CLASS_COUNT {
        let before = begun_fraction(&results, class, started, first_sent_at);
        let after = begun_fraction(&results, class, limit_reached_at + STABLE_WINDOW * 2, until);
        assert!(before > 0.9, "class {class}: {before} began before");
        assert!(
            after >= before / 2.0,
            "class {class}: {after} began, {before} before"
        );
    }
    crashing.abort();
    sound.abort();
}

/// Sends requests with the crashing part at a VM, new and repeated ones, and checks that they are
/// refused as not run while sound ones are served.
async fn check_refuses_the_part(site: &CrashSite, vm: &EntryVm) {
    let mut begun_count = 0;
    for number in 0..SOUND_CLASS_COUNT {
        let (id, request) = crashing_request(vm, "d", number);
        let answer = request.send().await.expect("an answer");
        assert_eq!((answer.status().as_u16(), site.runs(&id)), (503, 0), "{id}");
        begun_count += usize::from(send_sound(vm, "51", number).await.has_begun);
    }
    assert!(
        begun_count * 2 >= SOUND_CLASS_COUNT,
        "{begun_count} sound requests began"
    );
}

/// Waits for the time in which a VM must learn of the part; the requests with it end before, so that
/// all engines run.
async fn end_requests_at_others(crashing: &JoinHandle<()>) {
    sleep(STABLE_WINDOW - RECOVERY_TIME).await;
    crashing.abort();
    sleep(RECOVERY_TIME).await;
}

#[tokio::test]
async fn a_vm_that_starts_after_the_crashes_learns_of_the_part() {
    let site = CrashSite::launch(EVENT_PAUSE, RESTART_DELAY).await;
    let [east, west] = site.launch_vms([EAST, WEST]).await;
    let (_, sound) = send_sound_continuously(vec![Arc::clone(&east), Arc::clone(&west)]);
    let crashing = send_crashing(vec![Arc::clone(&east), Arc::clone(&west)]);
    site.wait_after_limit(Duration::from_secs(1), CRASHES_MAX)
        .await;
    let late = EntryVm::launch(new_ip(), EAST, &site.store, &[east.ip]).await;
    end_requests_at_others(&crashing).await;
    check_refuses_the_part(&site, &late).await;
    sound.abort();
}

#[tokio::test]
async fn a_vm_that_was_stopped_during_the_crashes_learns_of_the_part() {
    let site = CrashSite::launch(EVENT_PAUSE, RESTART_DELAY).await;
    let [east, west, stopped] = site.launch_vms([EAST, WEST, EAST]).await;
    let (_, sound) = send_sound_continuously(vec![Arc::clone(&east), Arc::clone(&west)]);
    stopped.signal("-STOP");
    let crashing = send_crashing(vec![Arc::clone(&east), Arc::clone(&west)]);
    site.wait_after_limit(Duration::from_secs(4), CRASHES_MAX)
        .await;
    stopped.signal("-CONT");
    end_requests_at_others(&crashing).await;
    check_refuses_the_part(&site, &stopped).await;
    sound.abort();
}

#[tokio::test]
async fn a_vm_of_a_region_without_crashes_learns_of_the_part() {
    let site = CrashSite::launch(EVENT_PAUSE, RESTART_DELAY).await;
    let [first, second, west] = site.launch_vms([EAST, EAST, WEST]).await;
    let (_, sound) = send_sound_continuously(vec![Arc::clone(&first), Arc::clone(&second)]);
    let crashing = send_crashing(vec![first, second]);
    site.wait_after_limit(Duration::ZERO, CRASHES_MAX).await;
    end_requests_at_others(&crashing).await;
    check_refuses_the_part(&site, &west).await;
    sound.abort();
}

/// Opens sound streams with the same parts at these VMs.
fn open_streams(vms: &[Arc<EntryVm>], name: &str, count: usize) {
    for number in 0..count {
        let vm = Arc::clone(&vms[number % vms.len()]);
        let name = name.to_owned();
        tokio::spawn(async move { send_sound(&vm, &name, number).await });
    }
}

/// Waits until this many streams run.
async fn wait_for_streams(site: &CrashSite, count: usize) {
    let wait = async {
        let engines = &site.engines;
        while engines
            .iter()
            .map(|engine| engine.running_count())
            .sum::<usize>()
            < count
        {
            sleep(Duration::from_millis(2)).await;
        }
    };
    let waited = timeout(Duration::from_secs(3), wait).await;
    waited.expect("the streams run");
    // The heads of the answers arrive.
    sleep(Duration::from_millis(30)).await;
}

/// Checks for some time that sound requests are served.
async fn check_serves_sound_requests(vms: &[Arc<EntryVm>]) {
    let (results, sound) = send_sound_continuously(vms.to_vec());
    let from = Instant::now();
    sleep(CHECK_TIME).await;
    let until = Instant::now();
    sleep(SLOW_EVENT_PAUSE * 3).await;
    sound.abort();
    let results = results.lock().clone();
    let refused = results.iter().find(|result| result.status != Some(200));
    assert!(refused.is_none(), "{refused:?} after {from:?}");
    for class in 0..SOUND_CLASS_COUNT {
        let begun = begun_fraction(&results, class, from, until);
        assert!(begun > 0.99, "class {class}: {begun} began");
    }
}

/// Crashes all endpoints at once, four times, while streams of these VMs run; before each time
/// `impose_quotas` may slow the VMs down until their recovery.
async fn crash_all_repeatedly(
    site: &CrashSite,
    vms: &[Arc<EntryVm>],
    name: &str,
    impose_quotas: impl AsyncFn() -> Vec<ProcessorQuota>,
) {
    for round in 0..4 {
        open_streams(vms, &format!("{name}{round}"), 36);
        wait_for_streams(site, 30).await;
        let quotas = impose_quotas().await;
        for engine in &site.engines {
            engine.crash();
        }
        sleep(RECOVERY_TIME).await;
        drop(quotas);
    }
}

#[tokio::test]
async fn sound_requests_are_not_refused_after_outages_of_all_endpoints() {
    let site = CrashSite::launch(SLOW_EVENT_PAUSE, OUTAGE_TIME).await;
    let vms = site.launch_vms([EAST, EAST, WEST]).await;
    crash_all_repeatedly(&site, &vms, "6", async || Vec::new()).await;
    check_serves_sound_requests(&vms).await;
}

/// VMs that get no processor notice a crash late, each at another time.
#[tokio::test]
async fn sound_requests_are_not_refused_after_outages_that_vms_under_a_quota_notice_late() {
    let site = CrashSite::launch(SLOW_EVENT_PAUSE, OUTAGE_TIME).await;
    let vms = site.launch_vms([EAST, EAST, WEST]).await;
    let impose_quotas = async || {
        let mut quotas = Vec::new();
        for vm in &vms {
            quotas.push(ProcessorQuota::impose(vm.process_id(), QUOTA_RUN_TIME));
            sleep(QUOTA_OFFSET).await;
        }
        quotas
    };
    crash_all_repeatedly(&site, &vms, "8", impose_quotas).await;
    check_serves_sound_requests(&vms).await;
}

#[tokio::test]
async fn sound_requests_are_not_refused_after_endpoints_crashed_for_other_reasons() {
    let site = CrashSite::launch(SLOW_EVENT_PAUSE, RESTART_DELAY).await;
    let vms = site.launch_vms([EAST, EAST, WEST]).await;
    for round in 0..2 {
        for engine in &site.engines {
            open_streams(&vms, &format!("7{round}{}", engine.address().port()), 12);
            sleep(Duration::from_millis(150)).await;
            engine.crash();
            sleep(Duration::from_millis(350)).await;
        }
    }
    sleep(RECOVERY_TIME).await;
    check_serves_sound_requests(&vms).await;
}
