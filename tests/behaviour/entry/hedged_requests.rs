//! Requests that are sent once more, over a new connection, while their first attempt is silent.

use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::EndpointFaults;
use figramp::stand_in::deployment::EndpointServer;
use figramp::stand_in::deployment::LinkProxy;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use super::support::any_port;
use super::support::new_ip;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;

/// The time in which a sound endpoint that is slow sends nothing: more than half of the time of a request,
/// which is 3.5 s.
const SLOW: Duration = Duration::from_millis(2_600);

/// The time of an answer during which other requests open connections of their own.
const WARM_UP: Duration = Duration::from_millis(100);

const REQUESTS: usize = 20;

/// One more than the endpoint has slots.
const SLOTS_AND_ONE: usize = 9;

/// The time of a request by which its second attempt is under way.
const BOTH_RUNNING_MAX: Duration = Duration::from_millis(3_200);

/// The longest time for which an endpoint may work on a request after its client has left.
const GONE_LIMIT: Duration = Duration::from_millis(500);

/// A VM and the only endpoint of its service.
struct OneEndpoint {
    site: Site,
    vm: EntryVm,
}

impl OneEndpoint {
    async fn launch() -> Self {
        let site = Site::launch(EAST).await;
        site.store.remove(&site.plain[1].key());
        let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
        Self { site, vm }
    }

    fn endpoint(&self) -> &EndpointServer {
        &self.site.plain[0]
    }

    fn set_delay(&self, head_delay: Duration, reports_load: bool) {
        self.endpoint().set_faults(EndpointFaults {
            head_delay,
            reports_load,
            ..EndpointFaults::default()
        });
    }

    fn send(&self, path: &str, id: &str) -> JoinHandle<Option<u16>> {
        let request = self.vm.post(path, id);
        tokio::spawn(async move {
            let answer = request.send().await.ok()?;
            let status = answer.status().as_u16();
            answer.text().await.ok().map(|_| status)
        })
    }

    /// Sends requests at the same time and returns their statuses.
    async fn statuses(&self, path: &str, prefix: &str, count: usize) -> Vec<Option<u16>> {
        let answers: Vec<_> = (0..count)
            .map(|number| self.send(path, &format!("{prefix}{number}")))
            .collect();
        let mut statuses = Vec::new();
        for answer in answers {
            statuses.push(answer.await.expect("the request ends"));
        }
        statuses
    }

    /// Lets the VM keep this many connections to the endpoint.
    async fn warm_up(&self, count: usize, reports_load: bool) {
        self.set_delay(WARM_UP, reports_load);
        let statuses = self.statuses("/read/x", "warm", count).await;
        assert_eq!(statuses, vec![Some(200); count]);
    }

    fn runs(&self, prefix: &str, count: usize) -> Vec<u32> {
        (0..count)
            .map(|number| self.site.runs(&format!("{prefix}{number}")))
            .collect()
    }
}

#[tokio::test]
async fn a_slow_answer_on_a_kept_connection_is_not_cut() {
    let one = OneEndpoint::launch().await;
    one.warm_up(1, false).await;
    one.set_delay(SLOW, false);
    let began_at = Instant::now();
    assert_eq!(one.statuses("/read/x", "slow", 1).await, [Some(200)]);
    // The answer is that of the first attempt; a second run from half of the time on would end later.
    let elapsed = began_at.elapsed();
    assert!(elapsed < SLOW + Duration::from_millis(500), "{elapsed:?}");
    // By its silence alone a slow answer can't be told from a lost one.
    let runs = one.runs("slow", 1);
    assert!(runs[0] <= 2, "{runs:?}");
}

#[tokio::test]
async fn a_slow_request_on_a_new_connection_runs_once() {
    let one = OneEndpoint::launch().await;
    one.set_delay(SLOW, false);
    assert_eq!(one.statuses("/read/x", "new", 1).await, [Some(200)]);
    assert_eq!(one.runs("new", 1), [1]);
}

#[tokio::test]
async fn slow_requests_run_once_if_their_endpoint_is_silent_to_all() {
    let one = OneEndpoint::launch().await;
    one.warm_up(REQUESTS, false).await;
    one.endpoint().fall_silent(SLOW);
    let statuses = one.statuses("/read/x", "silent", REQUESTS).await;
    assert_eq!(statuses, [Some(200); REQUESTS]);
    assert_eq!(one.runs("silent", REQUESTS), [1; REQUESTS]);
}

#[tokio::test]
async fn slow_requests_run_once_if_all_slots_of_their_endpoint_are_taken() {
    let one = OneEndpoint::launch().await;
    one.warm_up(SLOTS_AND_ONE, true).await;
    one.set_delay(SLOW, true);
    let slow = one.statuses("/read/x", "full", SLOTS_AND_ONE);
    let other = async {
        sleep(WARM_UP).await;
        one.set_delay(Duration::ZERO, true);
        // Its answer reports the load.
        assert_eq!(one.statuses("/read/x", "other", 1).await, [Some(200)]);
    };
    let (statuses, ()) = tokio::join!(slow, other);
    assert_eq!(statuses, [Some(200); SLOTS_AND_ONE]);
    assert_eq!(one.runs("full", SLOTS_AND_ONE), [1; SLOTS_AND_ONE]);
}

#[tokio::test]
async fn a_slow_booking_on_a_kept_connection_runs_once() {
    let one = OneEndpoint::launch().await;
    one.warm_up(1, false).await;
    one.set_delay(SLOW, false);
    assert_eq!(one.statuses("/book/x", "slow", 1).await, [Some(200)]);
    assert_eq!(one.runs("slow", 1), [1]);
}

#[tokio::test]
async fn reads_are_answered_if_all_kept_connections_go_silent_for_good() {
    let one = OneEndpoint::launch().await;
    let proxy = LinkProxy::launch(any_port(), one.endpoint().address()).await;
    let proxy = proxy.expect("a proxy");
    let record = one.endpoint().record_at(proxy.address(), "ready");
    one.site.store.put(&one.endpoint().key(), record);
    sleep(Duration::from_millis(1_500)).await;
    one.warm_up(REQUESTS, true).await;
    proxy.freeze_open();
    one.set_delay(Duration::ZERO, true);
    let statuses = one.statuses("/read/x", "lost", REQUESTS).await;
    assert_eq!(statuses, [Some(200); REQUESTS]);
    assert_eq!(one.runs("lost", REQUESTS), [1; REQUESTS]);
}

#[tokio::test]
async fn both_attempts_end_if_the_client_leaves() {
    let one = OneEndpoint::launch().await;
    one.warm_up(1, false).await;
    one.set_delay(Duration::from_millis(5_000), false);
    let answer = one.send("/read/x", "left0");
    let both_running = async {
        while one.runs("left", 1) != [2] {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let both_running = timeout(BOTH_RUNNING_MAX, both_running).await;
    both_running.expect("the request runs twice");
    answer.abort();
    sleep(GONE_LIMIT).await;
    assert_eq!(one.endpoint().running_count(), 0);
}
