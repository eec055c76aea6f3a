//! A mixed load through three regions of VMs.

use figramp::demo::run_load;
use figramp::demo::Deployment;
use figramp::demo::DeploymentPlan;
use figramp::demo::Outcome;
use indicatif::ProgressBar;

const CALLS: u64 = 48;

#[tokio::test(flavor = "multi_thread")]
async fn a_mixed_load_is_answered_in_full_and_each_booking_runs_once() {
    let deployment = Deployment::launch(&DeploymentPlan::three_regions())
        .await
        .expect("the deployment starts");
    let summary = run_load(&deployment, CALLS, 8, &ProgressBar::hidden())
        .await
        .expect("the load runs");
    assert!(summary.is_clean(), "{summary}");
    let answered = summary.count(|outcome| *outcome == Outcome::Answered);
    assert_eq!(answered, CALLS, "{summary}");
}
