//! Daemons whose endpoints name the rate that they take from all VMs together.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::EndpointFaults;
use figramp::stand_in::deployment::EndpointServer;
use http::HeaderValue;
use tokio::time::sleep;

use super::support::new_ip;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;

/// The time after which all VMs keep to a rate, as the users' `stableWindowMs`.
const STABLE_WINDOW: Duration = Duration::from_millis(5_000);

/// The window in which the users count requests.
const WINDOW: Duration = Duration::from_secs(4);

const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// The paths of each kind of route.
const PATHS: [&str; 4] = ["/read/x", "/book/x", "/stream/x", "/tip-stream/x"];

/// The time within which a refusal counts as prompt.
const PROMPT: Duration = Duration::from_millis(500);

/// Returns the requests that are allowed in a window.
fn allowed(rate_per_s: f64) -> usize {
    (rate_per_s * WINDOW.as_secs_f64() * 1.5) as usize + 5
}

fn limited(rate: &'static str) -> EndpointFaults {
    EndpointFaults {
        rate_limit: Some(HeaderValue::from_static(rate)),
        ..EndpointFaults::default()
    }
}

async fn launch(site: &Site, count: usize) -> Vec<Arc<EntryVm>> {
    let ips: Vec<_> = (0..count).map(|_| new_ip()).collect();
    let store = site.store.address();
    let vms: Vec<_> = ips
        .iter()
        .map(|ip| Arc::new(EntryVm::start(*ip, EAST, store, &ips)))
        .collect();
    for vm in &vms {
        vm.wait_until(true).await;
    }
    sleep(Duration::from_millis(1_500)).await;
    vms
}

/// Returns the largest number of requests within one window, of those that arrived in a time.
fn most_in_window(endpoint: &EndpointServer, time: Range<Instant>) -> usize {
    let arrivals = endpoint.arrivals().into_iter().map(|arrival| arrival.at);
    let times: Vec<Instant> = arrivals.filter(|at| time.contains(at)).collect();
    let in_window = |start: &Instant| {
        let window = *start..*start + WINDOW;
        times.iter().filter(|at| window.contains(*at)).count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

/// Sends requests to the daemons in turn for a time; returns the statuses of the answers.
async fn send(vms: &[Arc<EntryVm>], path: &'static str, time: Duration) -> Vec<u16> {
    let started = Instant::now();
    let mut answers = Vec::new();
    while started.elapsed() < time {
        let vm = Arc::clone(&vms[answers.len() % vms.len()]);
        let id = format!("{started:?}-{path}-{}", answers.len());
        answers.push(tokio::spawn(async move {
            let answer = vm.post(path, &id).send().await.expect("an answer");
            let status = answer.status().as_u16();
            answer.text().await.map_or(0, |_| status)
        }));
        sleep(REQUEST_INTERVAL).await;
    }
    let mut statuses = Vec::new();
    for answer in answers {
        statuses.push(answer.await.expect("a status"));
    }
    statuses
}

/// Lets the first endpoint of each service name a rate to so many daemons, and checks that it gets no
/// more while the others serve the rest.
async fn check_rate(vm_count: usize, path: &'static str, rate: &'static str) {
    let site = Site::launch(EAST).await;
    let vms = launch(&site, vm_count).await;
    for endpoint in [&site.plain[0], &site.engines[0]] {
        endpoint.set_faults(limited(rate));
    }
    let named_at = Instant::now();
    let statuses = send(&vms, path, STABLE_WINDOW + WINDOW).await;
    let time = named_at + STABLE_WINDOW..Instant::now();
    let rate_per_s: f64 = rate.parse().expect("a rate");
    for endpoint in [&site.plain[0], &site.engines[0]] {
        let most = most_in_window(endpoint, time.clone());
        let allowed = allowed(rate_per_s);
        assert!(most <= allowed, "{path}: {most}, allowed {allowed}");
    }
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(served, statuses.len(), "{path}");
}

#[tokio::test]
async fn three_vms_keep_the_rate_on_a_safe_route() {
    check_rate(3, PATHS[0], "2").await;
}

#[tokio::test]
async fn three_vms_keep_the_rate_on_an_unsafe_route() {
    check_rate(3, PATHS[1], "1.5").await;
}

#[tokio::test]
async fn twelve_vms_keep_the_rate_of_resumable_streams() {
    check_rate(12, PATHS[2], "1").await;
}

#[tokio::test]
async fn twelve_vms_keep_the_rate_of_streams_that_cannot_be_resumed() {
    check_rate(12, PATHS[3], "2").await;
}

#[tokio::test]
async fn requests_beyond_the_rates_of_all_endpoints_are_refused_at_once() {
    let site = Site::launch(EAST).await;
    let vms = launch(&site, 3).await;
    for endpoint in &site.plain {
        endpoint.set_faults(limited("1"));
    }
    let named_at = Instant::now();
    send(&vms, "/book/x", STABLE_WINDOW).await;
    for number in 0..20 {
        let id = format!("late-{number}");
        let sent_at = Instant::now();
        let answer = vms[number % 3].post("/book/x", &id).send().await;
        let answer = answer.expect("an answer");
        if answer.status() == 503 {
            assert!(sent_at.elapsed() < PROMPT);
            let wait = answer.headers().get("retry-after").expect("Retry-After");
            let wait_s: f64 = wait.to_str().expect("text").parse().expect("a number");
            assert!(wait_s > 0.0);
            assert_eq!(site.runs(&id), 0);
        }
        sleep(Duration::from_millis(50)).await;
    }
    send(&vms, "/book/x", WINDOW).await;
    for endpoint in &site.plain {
        let most = most_in_window(endpoint, named_at + STABLE_WINDOW..Instant::now());
        assert!(most <= allowed(1.0), "{most}");
        assert!(most > 0);
    }
}

#[tokio::test]
async fn a_rate_ends_when_answers_no_longer_name_it() {
    let site = Site::launch(EAST).await;
    let vms = launch(&site, 3).await;
    site.plain[0].set_faults(limited("1"));
    site.store.remove(&site.plain[1].key());
    let named_at = Instant::now();
    send(&vms, "/read/x", STABLE_WINDOW + WINDOW).await;
    let limited = most_in_window(&site.plain[0], named_at + STABLE_WINDOW..Instant::now());
    assert!(limited <= allowed(1.0), "{limited}");
    site.plain[0].set_faults(EndpointFaults::default());
    send(&vms, "/read/x", STABLE_WINDOW).await;
    let statuses = send(&vms, "/read/x", Duration::from_secs(1)).await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

#[tokio::test]
async fn a_vm_that_is_started_later_learns_the_rate_from_the_others() {
    let site = Site::launch(EAST).await;
    let mut vms = launch(&site, 3).await;
    site.plain[0].set_faults(limited("1"));
    let named_at = Instant::now();
    send(&vms, "/read/x", STABLE_WINDOW).await;
    let seeds = [vms[0].ip];
    for _ in 0..5 {
        let vm = EntryVm::launch(new_ip(), EAST, &site.store, &seeds).await;
        vms.push(Arc::new(vm));
    }
    send(&vms, "/read/x", WINDOW).await;
    let most = most_in_window(&site.plain[0], named_at + STABLE_WINDOW..Instant::now());
    assert!(most <= allowed(1.0), "{most}");
}

#[tokio::test]
async fn unreadable_negative_and_huge_rates_limit_nothing() {
    for value in ["NaN", "-1", "1e308", "inf", "soon", "", "1,5"] {
        let site = Site::launch(EAST).await;
        let vms = launch(&site, 2).await;
        for endpoint in &site.plain {
            endpoint.set_faults(limited(value));
        }
        let statuses = send(&vms, "/book/x", Duration::from_secs(1)).await;
        let served = statuses.iter().filter(|status| **status == 200).count();
        assert_eq!(served, statuses.len(), "{value}");
    }
}
