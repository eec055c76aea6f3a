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

    /// Checks that no request ran twice, and that none that ran is called refused.
    fn check_run_once(&self) {
        for (request_id, status) in &self.statuses {
            let runs = self.run_count(request_id);
            assert!(runs <= 1, "{request_id} ran {runs} times: {status}");
            let is_false = *status == 503 && runs > 0;
            assert!(!is_false, "{request_id} ran and was answered with {status}");
        }
        for (request_id, status) in &self.refused {
            assert_eq!(*status, 503, "no endpoint ran {request_id}");
        }
    }
}

/// Sends requests to full endpoints, each again under its identifier after it was refused.
async fn send_again_after_refusals(path: &str, timing: CopyTiming) -> Outcome {
    let site = Site::launch(EAST).await;
    let mut refusers = Vec::new();
    for endpoint in site.plain.iter().chain(&site.engines) {
        let refuser = CopyingRefuser::launch(any_port(), "any", FirstRefusal::Full, timing).await;
        let refuser = refuser.expect("an endpoint");
        let record = endpoint.record_at(refuser.address(), "ready");
        site.store.put(&endpoint.key(), record);
        refusers.push(refuser);
    }
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
    let works: Vec<Work> = refusers.iter().flat_map(CopyingRefuser::works).collect();
    assert!(!works.is_empty(), "no request ran");
    Outcome {
        works,
        refused,
        statuses,
    }
}

#[tokio::test]
async fn a_booking_sent_again_runs_once_though_its_refusal_is_copied() {
    for timing in [AT_ONCE, LATE] {
        let outcome = send_again_after_refusals("/book/x", timing).await;
        outcome.check_run_once();
    }
}

#[tokio::test]
async fn a_stream_sent_again_runs_once_though_its_refusal_is_copied() {
    for timing in [AT_ONCE, LATE] {
        let outcome = send_again_after_refusals("/tip-stream/x", timing).await;
        outcome.check_run_once();
    }
}

#[tokio::test]
async fn an_endpoint_that_copies_the_refusal_of_a_resumable_stream_is_left_in_time() {
    for timing in [AT_ONCE, LATE] {
        let outcome = send_again_after_refusals("/stream/x", timing).await;
        let longest = longest_overlap(&outcome.works);
        assert!(longest <= OVERLAP_MAX, "{longest:?}");
    }
}

/// The identifier of the process that listens at the address of `PREVIOUS`.
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
    assert!(
        present.refusal_count() > 0,
        "no request was for another instance"
    );
    let mut works = present.works();
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
