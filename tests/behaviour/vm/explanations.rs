//! The explanation of a request.

use figramp::demo::DeploymentPlan;

use super::support::completion;
use super::support::launch;
use super::support::stream_body;
use super::support::KEY;

#[tokio::test(flavor = "multi_thread")]
async fn lists_the_steps_of_a_request_and_shows_no_key_and_no_prompt() {
    let deployment = launch(&DeploymentPlan::one_region(3)).await;
    let (body, _) = stream_body(2);
    let response = completion(&deployment, 0, KEY, &body).send().await;
    let response = response.expect("the VM answers");
    let id = response.headers()["x-request-id"]
        .to_str()
        .unwrap()
        .to_owned();
    response.text().await.expect("the answer ends well");

    let operator = deployment.vms[0].daemon.operator_address();
    let url = format!("http://{operator}/v1/explain/{id}");
    let mut text = String::new();
    while !text.contains("answered") {
        text = reqwest::get(&url).await.unwrap().text().await.unwrap();
    }
    for step in ["bloomplan", "plan-reviews", "brisbane-engine-1"] {
        assert!(text.contains(step), "{step} is missing in {text}");
    }
    for secret in [KEY, "Review this bed"] {
        assert!(!text.contains(secret), "{secret} is shown in {text}");
    }
}
