//! Sends a mixed load of streams, non-streaming completions and bookings.

use std::time::Duration;

use futures::stream;
use futures::StreamExt;
use indicatif::ProgressBar;
use reqwest::Client;
use reqwest::Response;
use serde_json::Value;

use super::CallKind;
use super::DemoError;
use super::Deployment;
use super::LoadSummary;
use super::Outcome;
use super::SampleCall;

const CALL_TIMEOUT: Duration = Duration::from_secs(90);
const DONE_EVENT: &str = "data: [DONE]";

/// Sends `count` calls to all VMs in turn, at most `concurrency` at a time.
///
/// # Errors
///
/// Returns a [`DemoError`] if the HTTP client cannot be created.
pub async fn run_load(
    deployment: &Deployment,
    count: u64,
    concurrency: usize,
    progress: &ProgressBar,
) -> Result<LoadSummary, DemoError> {
    let client = Client::builder().timeout(CALL_TIMEOUT).build()?;
    let calls = (0..count).map(|number| sample_call(deployment, number));
    let outcomes: Vec<(SampleCall, Outcome)> = stream::iter(calls)
        .map(|call| {
            let client = client.clone();
            async move {
                let outcome = send(&client, &call).await;
                progress.inc(1);
                (call, outcome)
            }
        })
        .buffer_unordered(concurrency.max(1))
        .collect()
        .await;
    let mut summary = LoadSummary::default();
    for (call, outcome) in outcomes {
        let ran = execution_count(deployment, &call);
        let expected = usize::from(outcome == Outcome::Answered);
        if call.kind == CallKind::Booking && ran != expected {
            summary.miscounted_bookings.push(call.number);
        }
        summary.add(call.kind, outcome);
    }
    Ok(summary)
}

fn sample_call(deployment: &Deployment, number: u64) -> SampleCall {
    let kind = match number % 4 {
        0 | 1 => CallKind::Stream,
        2 => CallKind::Whole,
        _ => CallKind::Booking,
    };
    let vm_count = deployment.vms.len() as u64;
    let vm = usize::try_from(number / 4 % vm_count).unwrap_or(0);
    let key = match number % 3 {
        0 => "key-bloomplan",
        1 => "key-toowoomba-nursery",
        _ => "key-wet-tropics",
    };
    SampleCall {
        kind,
        address: deployment.vms[vm].daemon.caller_address(),
        key: key.to_owned(),
        number,
    }
}

fn execution_count(deployment: &Deployment, call: &SampleCall) -> usize {
    let body = call.body().to_string();
    deployment
        .services
        .iter()
        .map(|service| service.server.executions().count_of_body(&body))
        .sum()
}

/// Sends one call and classifies its answer.
async fn send(client: &Client, call: &SampleCall) -> Outcome {
    let url = format!("http://{}{}", call.address, call.path());
    let request = client
        .post(url)
        .bearer_auth(&call.key)
        .header("Idempotency-Key", call.idempotency_key())
        .json(&call.body());
    match request.send().await {
        Ok(response) => classify(call.kind, response).await,
        Err(error) => failed(error),
    }
}

async fn classify(kind: CallKind, response: Response) -> Outcome {
    let is_success = response.status().is_success();
    let text = match response.text().await {
        Ok(text) => text,
        Err(error) => return failed(error),
    };
    if !is_success {
        return refusal(&text);
    }
    if kind == CallKind::Stream && !text.contains(DONE_EVENT) {
        return failed("the stream ended without [DONE]");
    }
    Outcome::Answered
}

fn refusal(text: &str) -> Outcome {
    let body: Value = serde_json::from_str(text).unwrap_or_default();
    let error = &body["error"];
    let kind = error["kind"].as_str().unwrap_or("no kind").to_owned();
    if error["run"] == "not_run" {
        Outcome::Refused { kind }
    } else {
        Outcome::Failed { reason: kind }
    }
}

fn failed(error: impl ToString) -> Outcome {
    Outcome::Failed {
        reason: error.to_string(),
    }
}
