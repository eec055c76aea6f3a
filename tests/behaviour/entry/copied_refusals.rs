//! Endpoints that write a copy of a refusal while they work on the request that they refused.

use std::time::Duration;

use figramp::stand_in::deployment::CopyTiming;
use figramp::stand_in::deployment::CopyingRefuser;
use figramp::stand_in::deployment::EndpointFaults;
use figramp::stand_in::deployment::FirstRefusal;
use figramp::stand_in::deployment::Work;
use tokio::time::sleep;

use super::support::any_port;
use super::support::new_ip;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;
use super::work_overlap::longest_overlap;
use super::work_overlap::OVERLAP_MAX;

const REQUESTS: usize = 12;

/// Longer than an endpoint that refused is avoided.
const INTERVAL: Duration = Duration::from_millis(120);

/// Longer than two endpoints may work on one request.
const LONG_WORK: Duration = Duration::from_millis(700);

/// The time for a VM to read a change of the store.
const LISTING_TIME: Duration = Duration::from_millis(700);

const AT_ONCE: CopyTiming = CopyTiming {
    delay: Duration::ZERO,
    work: LONG_WORK,
};

const LATE: CopyTiming = CopyTiming {
    delay: Duration::from_millis(200),
    work: LONG_WORK,
};

/// The copy comes after the next request has been sent, and the answer soon after it.
const QUICK: CopyTiming = CopyTiming {
    delay: Duration::from_millis(5),
    work: Duration::from_millis(60),
};

/// The refusals on a connection after which it is closed.
const REFUSALS_PER_CONNECTION: usize = 64;

const REFUSED_REQUESTS: usize = 150;

/// The time that makes the other endpoint the second choice.
const SLOW_DELAY: Duration = Duration::from_millis(150);

/// What came of requests whose identifier reaches an endpoint that refused it again.
struct Outcome {
    works: Vec<Work>,
    /// The statuses of the attempts that all endpoints refuse.
    refused: Vec<(String, u16)>,
    /// The statuses of the attempts that one of them runs.
    statuses: Vec<(String, u16)>,
}

impl Outcome {
    fn run_count(&self, request_id: &str) -> usize {
        let works = self.works.iter();
        works.filter(|work| work.request_id == request_id).count()
    }

    /// Checks that each request was refused, and then ran once and was answered.
    fn check_run_once(&self) {
        for (request_id, status) in &self.statuses {
            let runs = self.run_count(request_id);
            assert_eq!(runs, 1, "runs of {request_id}: {status}");
            assert_eq!(*status, 200, "{request_id} ran");
        }
        for (request_id, status) in &self.refused {
            assert_eq!(*status, 503, "no endpoint ran {request_id}");
        }
    }
}

async fn launch_refusers(
    site: &Site,
    refusal: FirstRefusal,
    timing: CopyTiming,
) -> Vec<CopyingRefuser> {
    let mut refusers = Vec::new();
    for endpoint in site.plain.iter().chain(&site.engines) {
        let refuser = CopyingRefuser::launch(any_port(), "any", refusal, timing).await;
        let refuser = refuser.expect("an endpoint");
        let record = endpoint.record_at(refuser.address(), "ready");
        site.store.put(&endpoint.key(), record);
        refusers.push(refuser);
    }
    refusers
}

/// Sends requests to full endpoints, each again under its identifier after it was refused.
async fn send_again_after_refusals(
    path: &str,
    refusal: FirstRefusal,
    timing: CopyTiming,
) -> Outcome {
    let site = Site::launch(EAST).await;
    let refusers = launch_refusers(&site, refusal, timing).await;
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    let mut refused = Vec::new();
    let mut statuses = Vec::new();
    for number in 0..REQUESTS {
        let request_id = format!("r{number}");
        let first = vm.post(path, &request_id).send().await.expect("an answer");
        refused.push((request_id.clone(), first.status().as_u16()));
        sleep(INTERVAL).await;
        let second = vm.post(path, &request_id).send().await.expect("an answer");
        statuses.push((request_id, second.status().as_u16()));
        sleep(INTERVAL).await;
    }
    sleep(LONG_WORK).await;
    let works = refusers.iter().flat_map(CopyingRefuser::works).collect();
    Outcome {
        works,
        refused,
        statuses,
    }
}

#[tokio::test]
async fn a_booking_sent_again_runs_once_though_its_refusal_is_copied() {
    for timing in [AT_ONCE, LATE] {
        let outcome = send_again_after_refusals("/book/x", FirstRefusal::Full, timing).await;
        outcome.check_run_once();
    }
}

#[tokio::test]
async fn a_stream_sent_again_runs_once_though_its_refusal_is_copied() {
    for timing in [AT_ONCE, LATE] {
        let outcome = send_again_after_refusals("/tip-stream/x", FirstRefusal::Full, timing).await;
        outcome.check_run_once();
    }
}

#[tokio::test]
async fn an_endpoint_that_copies_the_refusal_of_a_resumable_stream_is_left_in_time() {
    for timing in [AT_ONCE, LATE] {
        let outcome = send_again_after_refusals("/stream/x", FirstRefusal::Full, timing).await;
        let longest = longest_overlap(&outcome.works);
        assert!(longest <= OVERLAP_MAX, "{longest:?}");
        outcome.check_run_once();
    }
}

/// Guards against a refusal that is known by its header and not remembered for its status.
#[tokio::test]
async fn a_booking_refused_with_a_status_of_success_runs_once() {
    let refusal = FirstRefusal::FullWithSuccess;
    let outcome = send_again_after_refusals("/book/x", refusal, LATE).await;
    outcome.check_run_once();
}

#[tokio::test]
async fn a_connection_is_closed_before_a_refusal_on_it_is_forgotten() {
    let site = Site::launch(EAST).await;
    let refusers = launch_refusers(&site, FirstRefusal::Full, QUICK).await;
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    for number in 0..REFUSED_REQUESTS {
        let answer = vm.post("/book/x", &format!("r{number}")).send().await;
        assert_eq!(answer.expect("an answer").status(), 503);
    }
    for refuser in &refusers[..site.plain.len()] {
        let refusals = refuser.refusal_count();
        assert!(refusals > REFUSALS_PER_CONNECTION, "{refusals}");
        let connections = refusals.div_ceil(REFUSALS_PER_CONNECTION);
        assert_eq!(
            refuser.connection_count(),
            connections,
            "{refusals} refusals"
        );
    }
}

/// Guards against connections that add up beside those on which a request has failed.
#[tokio::test]
async fn an_endpoint_has_no_more_connections_after_requests_are_sent_again() {
    let site = Site::launch(EAST).await;
    let refusers = launch_refusers(&site, FirstRefusal::Full, QUICK).await;
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    for number in 0..REQUESTS {
        let request_id = format!("r{number}");
        for _ in 0..2 {
            let answer = vm.post("/book/x", &request_id).send().await;
            answer.expect("an answer");
        }
    }
    sleep(INTERVAL).await;
    for refuser in &refusers[..site.plain.len()] {
        let connections = refuser.open_count();
        assert!(connections <= 1, "{connections} open connections");
    }
}

/// The identifier of the process that listens at the reused address.
const PRESENT: &str = "p1";

/// Sends bookings while an address is listed under the identifier of its process and that of the one before.
async fn send_to_a_reused_address(timing: CopyTiming) -> Outcome {
    let site = Site::launch(EAST).await;
    let [replaced, slow] = &site.plain;
    slow.set_faults(EndpointFaults {
        head_delay: SLOW_DELAY,
        ..EndpointFaults::default()
    });
    let refusal = FirstRefusal::OtherInstance;
    let present = CopyingRefuser::launch(any_port(), PRESENT, refusal, timing).await;
    let present = present.expect("an endpoint");
    let record = || replaced.record_at(present.address(), "ready");
    site.store.put(&replaced.key(), record());
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    for number in 0..REQUESTS {
        let answer = vm.post("/book/x", &format!("first-{number}")).send().await;
        assert_eq!(answer.expect("an answer").status(), 200);
    }
    let mut statuses = Vec::new();
    for number in 0..REQUESTS {
        let previous = format!("servers/previous-{number}");
        site.store.put(&previous, record());
        sleep(LISTING_TIME).await;
        let request_id = format!("r{number}");
        let answer = vm.post("/book/x", &request_id).send().await;
        let status = answer.expect("an answer").status().as_u16();
        statuses.push((request_id, status));
        site.store.remove(&previous);
    }
    let mut works = present.works();
    let was_refused_first = |work: &Work| present.has_refused(&work.request_id);
    assert!(
        works.iter().any(was_refused_first),
        "no request came to the process for both identifiers"
    );
    works.extend(slow.works());
    Outcome {
        works,
        refused: Vec::new(),
        statuses,
    }
}

#[tokio::test]
async fn a_booking_refused_for_the_previous_process_of_an_address_runs_once() {
    let outcome = send_to_a_reused_address(QUICK).await;
    outcome.check_run_once();
}
