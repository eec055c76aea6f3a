//! A mixed load on the VMs of three regions.

use figramp::demo::run_load;
use figramp::demo::DeploymentPlan;
use figramp::demo::Outcome;
use indicatif::ProgressBar;

use super::support::launch;

const CALLS: u64 = 48;

#[tokio::test(flavor = "multi_thread")]
async fn a_mixed_load_is_answered_in_full_and_each_booking_runs_once() {
    let deployment = launch(&DeploymentPlan::three_regions()).await;
    let summary = run_load(&deployment, CALLS, 8, &ProgressBar::hidden())
        .await
        .expect("the load runs");
    assert!(summary.is_clean(), "{summary}");
    let answered = summary.count(|outcome| *outcome == Outcome::Answered);
    assert_eq!(answered, CALLS, "{summary}");
}
