//! Non-idempotent calls, their duplicates, and faults of the service.

use std::time::Duration;

use figramp::clock::Clock;
use figramp::clock::SystemClock;
use figramp::demo::Deployment;
use figramp::demo::DeploymentPlan;
use figramp::stand_in::service::ServiceFaults;
use futures::future::join_all;
use tokio::time::sleep;

use super::support::booking;
use super::support::executions;
use super::support::launch;
use super::support::refusal;

const CALL_TIME_MS: u64 = 200;
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the bookings that all VMs together count as run and as repeated.
fn counted_bookings(deployment: &Deployment) -> (u64, u64) {
    let now = SystemClock::new().wall_time();
    let statistics = deployment.vms.iter().map(|vm| {
        let statistics = vm.daemon.context().telemetry.statistics(now);
        let bookings = statistics.accounts.values().map(|account| account.bookings);
        bookings.fold((0, 0), |sum, counts| {
            (sum.0 + counts.run, sum.1 + counts.repeated)
        })
    });
    statistics.fold((0, 0), |sum, counts| (sum.0 + counts.0, sum.1 + counts.1))
}

const FAULTS: [ServiceFaults; 3] = [
    ServiceFaults {
        hits_left: Some(1),
        delay_ms: 0,
        is_refusing: false,
        is_silent_before_run: false,
        is_silent_after_run: true,
        failure_status_after_run: None,
        truncated_after_bytes: None,
    },
    ServiceFaults {
        hits_left: Some(1),
        delay_ms: 0,
        is_refusing: false,
        is_silent_before_run: false,
        is_silent_after_run: false,
        failure_status_after_run: None,
        truncated_after_bytes: Some(1),
    },
    ServiceFaults {
        hits_left: Some(1),
        delay_ms: 0,
        is_refusing: false,
        is_silent_before_run: false,
        is_silent_after_run: false,
        failure_status_after_run: Some(500),
        truncated_after_bytes: None,
    },
];

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_whose_answer_was_lost_is_not_run_again_by_a_duplicate_on_any_vm() {
    let deployment = launch(&DeploymentPlan::three_regions()).await;
    for (round, faults) in FAULTS.into_iter().enumerate() {
        let id = format!("truck-{round}");
        let body = format!("mulch {round}");
        for service in &deployment.services {
            service.server.set_faults(faults);
        }
        let first = booking(&deployment, 0, &id, &body).send().await;
        let first = first.expect("the VM answers");
        assert!(!first.status().is_success(), "round {round}");
        for service in &deployment.services {
            service.server.set_faults(ServiceFaults::default());
        }
        for vm in 0..deployment.vms.len() {
            let duplicate = booking(&deployment, vm, &id, &body).send().await;
            let duplicate = duplicate.expect("the VM answers");
            assert!(!duplicate.status().is_success(), "round {round}, VM {vm}");
            if duplicate.status() != 500 {
                let (_, run) = refusal(duplicate).await;
                assert_eq!(run, "may_have_run", "round {round}, VM {vm}");
            }
        }
        assert_eq!(executions(&deployment, &body), 1, "round {round}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_duplicate_on_any_vm_gets_the_first_answer() {
    let deployment = launch(&DeploymentPlan::three_regions()).await;
    let mut answers = Vec::new();
    for vm in 0..deployment.vms.len() {
        let response = booking(&deployment, vm, "truck", "soil").send().await;
        let response = response.expect("the VM answers");
        assert_eq!(response.status(), 200);
        answers.push(response.text().await.expect("the answer is complete"));
    }
    answers.dedup();
    assert_eq!(answers.len(), 1, "{answers:?}");
    assert_eq!(executions(&deployment, "soil"), 1);
    assert_eq!(
        counted_bookings(&deployment),
        (1, deployment.vms.len() as u64 - 1)
    );

    let reused = booking(&deployment, 1, "truck", "other").send().await;
    let (kind, run) = refusal(reused.expect("the VM answers")).await;
    assert_eq!(
        (kind.as_str(), run.as_str()),
        ("idempotency_key_reused", "not_run")
    );
}

/// The replicas learn of the outcome only after the duplicates have come.
#[tokio::test(flavor = "multi_thread")]
async fn a_duplicate_that_comes_before_the_outcome_gets_the_first_answer() {
    let deployment = launch(&DeploymentPlan::three_regions()).await;
    for service in &deployment.services {
        service.server.set_faults(ServiceFaults {
            delay_ms: CALL_TIME_MS,
            ..ServiceFaults::default()
        });
    }
    let submissions = (0..deployment.vms.len()).map(|vm| {
        let submission = booking(&deployment, vm, "truck", "soil");
        async move {
            sleep(SUBMISSION_INTERVAL * u32::try_from(vm).unwrap()).await;
            let response = submission.send().await.expect("the VM answers");
            let status = response.status().as_u16();
            (
                status,
                response.text().await.expect("the answer is complete"),
            )
        }
    });
    let answers = join_all(submissions).await;
    assert!(
        answers.iter().all(|answer| *answer == answers[0]),
        "{answers:?}"
    );
    assert_eq!(answers[0].0, 200);
    assert_eq!(executions(&deployment, "soil"), 1);
}
