//! Requests whose attempts all fail.

use figramp::demo::DeploymentPlan;
use figramp::stand_in::engine::EngineFaults;

use super::support::completion;
use super::support::launch;
use super::support::refusal;
use super::support::stream_body;
use super::support::KEY;

#[tokio::test(flavor = "multi_thread")]
async fn report_the_failure_of_the_last_endpoint_and_not_the_lack_of_another() {
    let mut plan = DeploymentPlan::one_region(3);
    plan.regions[0].engine_count = 1;
    let deployment = launch(&plan).await;
    let failing = EngineFaults {
        failure_status: Some(500),
        ..EngineFaults::default()
    };
    let refusing = EngineFaults {
        is_refusing: true,
        ..EngineFaults::default()
    };
    let expected = [
        (failing, "endpoint_failed", "may_have_run"),
        (refusing, "endpoint_refused", "not_run"),
    ];
    for (vm, (faults, kind, run)) in expected.into_iter().enumerate() {
        deployment.engines[0].server.set_faults(faults);
        let (body, _) = stream_body(2);
        let response = completion(&deployment, vm, KEY, &body).send().await;
        let (got_kind, got_run) = refusal(response.expect("the VM answers")).await;
        assert_eq!((got_kind.as_str(), got_run.as_str()), (kind, run));
    }
}
