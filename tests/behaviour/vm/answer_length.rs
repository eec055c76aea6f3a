//! Requests without a maximum answer length.

use figramp::demo::DeploymentPlan;
use serde_json::json;

use super::support::completion;
use super::support::launch;
use super::support::KEY;

#[tokio::test(flavor = "multi_thread")]
async fn are_answered_within_the_limit_of_the_route() {
    let deployment = launch(&DeploymentPlan::one_region(3)).await;
    let body = json!({
        "model": "plant-tips",
        "messages": [{"role": "user", "content": "Which fern?"}],
    });
    let response = completion(&deployment, 0, KEY, &body.to_string())
        .send()
        .await;
    let response = response.expect("the VM answers");
    assert_eq!(response.status(), 200);
}
