//! `figramp status`, `explain` and `audit`: queries to a VM.

use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::json;

use super::runtime;
use super::CliError;
use super::OutputFormat;
use super::Query;
use crate::operator::render::audit_text;
use crate::operator::render::explanation_text;
use crate::operator::render::page_text;
use crate::operator::wire::AuditWire;
use crate::operator::wire::ExplanationSetWire;
use crate::operator::wire::PageWire;
use crate::request::RequestId;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// Prints the operators' page.
pub(super) fn status(query: Query) -> Result<(), CliError> {
    let page = fetch::<PageWire>(query, "/v1/page")?;
    print(query, &page, page_text);
    Ok(())
}

/// Prints where a request went and why.
pub(super) fn explain(request: &str, query: Query) -> Result<(), CliError> {
    if RequestId::from_hex(request).is_none() {
        return Err(CliError::MalformedRequestId {
            request: request.to_owned(),
        });
    }
    let set = fetch::<ExplanationSetWire>(query, &format!("/v1/explain/{request}"))?;
    print(query, &set, explanation_text);
    if set.explanations.is_empty() {
        return Err(CliError::UnknownRequest {
            request: request.to_owned(),
        });
    }
    Ok(())
}

/// Prints the audit trail.
pub(super) fn audit(after: u64, query: Query) -> Result<(), CliError> {
    let trail = fetch::<AuditWire>(query, &format!("/v1/audit?after={after}"))?;
    print(query, &trail, audit_text);
    Ok(())
}

fn print<T: Serialize>(query: Query, answer: &T, text: impl Fn(&T) -> String) {
    match query.output {
        OutputFormat::Json => println!("{:#}", json!(answer)),
        OutputFormat::Text => print!("{}", text(answer)),
    }
}

fn fetch<T: DeserializeOwned>(query: Query, path: &str) -> Result<T, CliError> {
    let url = format!("http://{}{path}", query.vm);
    let no_answer = |error: reqwest::Error| CliError::NoAnswer {
        vm: query.vm,
        reason: error.without_url().to_string(),
    };
    runtime::block_on(async {
        let client = reqwest::Client::builder()
            .timeout(ANSWER_TIMEOUT)
            .build()
            .map_err(no_answer)?;
        let answer = client.get(url).send().await.map_err(no_answer)?;
        let answer = answer.error_for_status().map_err(no_answer)?;
        answer.json().await.map_err(no_answer)
    })
}
