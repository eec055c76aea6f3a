//! Helpers to launch a deployment and to send requests to it.

use std::ops::Deref;
use std::ops::DerefMut;
use std::time::Duration;

use figramp::demo::Deployment;
use figramp::demo::DeploymentPlan;
use figramp::stand_in::engine::answer_tokens;
use reqwest::Client;
use reqwest::RequestBuilder;
use reqwest::Response;
use serde_json::json;
use serde_json::Value;
use tokio::sync::Mutex;
use tokio::sync::MutexGuard;

pub const KEY: &str = "key-bloomplan";
const POLL: Duration = Duration::from_millis(10);

/// A deployment with a lock that keeps the tests of whole VMs from running at the same time.
pub struct ExclusiveDeployment {
    deployment: Deployment,
    _lock: MutexGuard<'static, ()>,
}

impl Deref for ExclusiveDeployment {
    type Target = Deployment;

    fn deref(&self) -> &Deployment {
        &self.deployment
    }
}

impl DerefMut for ExclusiveDeployment {
    fn deref_mut(&mut self) -> &mut Deployment {
        &mut self.deployment
    }
}

pub async fn launch(plan: &DeploymentPlan) -> ExclusiveDeployment {
    static LOCK: Mutex<()> = Mutex::const_new(());
    let lock = LOCK.lock().await;
    let deployment = Deployment::launch(plan)
        .await
        .expect("the deployment starts");
    ExclusiveDeployment {
        deployment,
        _lock: lock,
    }
}

/// Returns the body of a streamed completion and the complete answer to it.
pub fn stream_body(max_tokens: u64) -> (String, String) {
    numbered_stream_body(0, max_tokens)
}

/// As [`stream_body`], with a different prompt for each number.
pub fn numbered_stream_body(number: u64, max_tokens: u64) -> (String, String) {
    let body = json!({
        "model": "plan-reviews",
        "stream": true,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": format!("Review this bed: {number}")}],
    });
    let body = body.to_string();
    let answer = answer_tokens(&body, max_tokens).concat();
    (body, answer)
}

pub fn completion(deployment: &Deployment, vm: usize, key: &str, body: &str) -> RequestBuilder {
    let address = deployment.vms[vm].daemon.caller_address();
    Client::new()
        .post(format!("http://{address}/v1/chat/completions"))
        .bearer_auth(key)
        .header("content-type", "application/json")
        .body(body.to_owned())
}

pub fn booking(deployment: &Deployment, vm: usize, id: &str, body: &str) -> RequestBuilder {
    let address = deployment.vms[vm].daemon.caller_address();
    Client::new()
        .post(format!("http://{address}/bookings/soil"))
        .bearer_auth(KEY)
        .header("Idempotency-Key", id)
        .body(body.to_owned())
}

/// Returns the kind and the run state of a refusal.
pub async fn refusal(response: Response) -> (String, String) {
    let text = response
        .text()
        .await
        .expect("the body of a refusal is complete");
    let body: Value = serde_json::from_str(&text).unwrap_or_else(|_| panic!("not JSON: {text}"));
    let text = |name: &str| body["error"][name].as_str().unwrap_or("").to_owned();
    (text("kind"), text("run"))
}

/// Returns the text of the chunks of a stream, and whether its end mark arrived.
pub fn streamed_text(body: &str) -> (String, bool) {
    let mut text = String::new();
    let mut is_whole = false;
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            is_whole = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).expect("an event is JSON");
        let delta = event["choices"][0]["delta"]["content"].as_str();
        text.push_str(delta.unwrap_or(""));
    }
    (text, is_whole)
}

pub async fn wait_until(mut holds: impl FnMut() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(30), wait)
        .await
        .expect("the condition holds within 30 s");
}

pub fn executions(deployment: &Deployment, body: &str) -> usize {
    deployment
        .services
        .iter()
        .map(|service| service.server.executions().count_of_body(body))
        .sum()
}
