//! `figramp status`, `explain` and `audit`: questions to a VM.

use std::time::Duration;

use reqwest::StatusCode;
use serde_json::Value;

use super::json_text::JsonText;
use super::runtime;
use super::CliError;
use super::OutputForm;
use super::Query;
use crate::audit::AuditTrailWire;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// Prints the operators' page.
pub(super) fn status(query: Query) -> Result<(), CliError> {
    let report = fetch(query, "/v1/report")?.ok_or_else(|| no_answer(query, "status 404"))?;
    print(query, &report, |report| JsonText(report).to_string());
    Ok(())
}

/// Prints where a request went and why.
pub(super) fn explain(request: &str, query: Query) -> Result<(), CliError> {
    let path = format!("/v1/explain/{request}");
    let explanation = fetch(query, &path)?.ok_or_else(|| CliError::UnknownRequest {
        request: request.to_owned(),
    })?;
    print(query, &explanation, |value| JsonText(value).to_string());
    Ok(())
}

/// Prints the trail of changes.
pub(super) fn audit(after: u64, query: Query) -> Result<(), CliError> {
    let path = format!("/v1/audit?after={after}");
    let trail = fetch(query, &path)?.ok_or_else(|| no_answer(query, "status 404"))?;
    let wire: AuditTrailWire =
        serde_json::from_value(trail.clone()).map_err(|error| no_answer(query, error))?;
    print(query, &trail, |_| trail_text(&wire));
    Ok(())
}

fn trail_text(trail: &AuditTrailWire) -> String {
    let lines = trail.entries.iter().map(|entry| {
        format!(
            "{:>6}  {:>13} ms  {:<20}  {}\n",
            entry.sequence, entry.unix_ms, entry.event, entry.text
        )
    });
    format!("VM {}\n{}", trail.vm, lines.collect::<String>())
}

fn print(query: Query, value: &Value, text: impl Fn(&Value) -> String) {
    match query.output {
        OutputForm::Json => println!("{value:#}"),
        OutputForm::Text => print!("{}", text(value)),
    }
}

/// Reads a JSON answer; `None` stands for status 404.
fn fetch(query: Query, path: &str) -> Result<Option<Value>, CliError> {
    let url = format!("http://{}{path}", query.vm);
    runtime::block_on(async {
        let client = reqwest::Client::builder()
            .timeout(ANSWER_TIMEOUT)
            .build()
            .map_err(|error| no_answer(query, error))?;
        let answer = client.get(url).send().await;
        let answer = answer.map_err(|error| no_answer(query, error))?;
        if answer.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let answer = answer
            .error_for_status()
            .map_err(|error| no_answer(query, error))?;
        let value = answer.json().await;
        value.map(Some).map_err(|error| no_answer(query, error))
    })
}

fn no_answer(query: Query, reason: impl ToString) -> CliError {
    CliError::NoAnswer {
        vm: query.vm,
        reason: reason.to_string(),
    }
}
