//! Explanations in JSON.

use serde::Deserialize;
use serde::Serialize;

use crate::catalog::Name;
use crate::operator::Candidate;
use crate::operator::Explanation;
use crate::operator::ExplanationStep;
use crate::operator::StepEvent;

/// What several VMs did with one request.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ExplanationSetWire {
    /// The request.
    pub request_id: String,
    /// What each VM did, the earliest first.
    pub explanations: Vec<ExplanationWire>,
    /// The VMs that did not answer.
    pub missing_vms: Vec<String>,
}

/// What one VM did with one request.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ExplanationWire {
    /// The VM.
    pub vm: String,
    /// When the request came, in milliseconds since the Unix epoch.
    pub received_at_unix_ms: u64,
    /// What happened, in order.
    pub steps: Vec<StepWire>,
}

/// One step on the way of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct StepWire {
    /// The time since the request came, in microseconds.
    pub after_us: u64,
    /// What happened, for programs.
    pub event: String,
    /// What happened, for a person.
    pub text: String,
    /// The candidates of a choice.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub candidates: Vec<CandidateWire>,
}

/// A candidate of a choice.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct CandidateWire {
    /// Its name.
    pub name: String,
    /// What became of it.
    pub fate: String,
}

impl ExplanationWire {
    /// Creates the wire form of what `vm` did.
    pub fn new(vm: &Name, explanation: &Explanation) -> Self {
        Self {
            vm: vm.to_string(),
            received_at_unix_ms: explanation.received_at.unix_ms,
            steps: explanation.steps.iter().map(StepWire::from).collect(),
        }
    }
}

impl From<&ExplanationStep> for StepWire {
    fn from(step: &ExplanationStep) -> Self {
        let candidates = match &step.event {
            StepEvent::Weighed { candidates } => {
                candidates.iter().map(CandidateWire::from).collect()
            }
            _ => Vec::new(),
        };
        Self {
            after_us: step.after_us,
            event: event_code(&step.event).to_owned(),
            text: event_text(&step.event),
            candidates,
        }
    }
}

impl From<&Candidate> for CandidateWire {
    fn from(candidate: &Candidate) -> Self {
        Self {
            name: candidate.name.to_string(),
            fate: candidate.outcome.as_str().to_owned(),
        }
    }
}

const fn event_code(event: &StepEvent) -> &'static str {
    match event {
        StepEvent::Resolved { .. } => "resolved",
        StepEvent::ReceivedForward { .. } => "handed_over",
        StepEvent::Reserved { .. } => "reserved",
        StepEvent::Queued => "queued",
        StepEvent::Weighed { .. } => "weighed",
        StepEvent::Forwarded { .. } => "forwarded",
        StepEvent::Sent { .. } => "sent",
        StepEvent::Retried { .. } => "retried",
        StepEvent::FirstToken => "first_token",
        StepEvent::Replayed => "repeated",
        StepEvent::Answered { .. } => "answered",
        StepEvent::Cancelled => "cancelled",
        StepEvent::Failed { .. } => "failed",
    }
}

fn event_text(event: &StepEvent) -> String {
    match event {
        StepEvent::Resolved {
            client_account: Some(account),
            route,
        } => format!("the key belongs to client account {account}; route {route}"),
        StepEvent::Resolved {
            client_account: None,
            route,
        } => format!("no key; open route {route}"),
        StepEvent::ReceivedForward { from } => format!("handed over by VM {from}"),
        StepEvent::Reserved { tokens } => format!("{tokens} tokens reserved"),
        StepEvent::Queued => "queued".to_owned(),
        StepEvent::Weighed { candidates } => format!("{} candidates weighed", candidates.len()),
        StepEvent::Forwarded { vm, region } => format!("forwarded to VM {vm} in region {region}"),
        StepEvent::Sent { endpoint } => format!("sent to endpoint {endpoint}"),
        StepEvent::Retried { kind } => {
            format!(
                "the attempt failed ({}); another is made",
                kind.answer().code
            )
        }
        StepEvent::FirstToken => "first token".to_owned(),
        StepEvent::Replayed => "the outcome of an earlier submission was given".to_owned(),
        StepEvent::Answered { charged_tokens } => {
            format!("answered in full; {charged_tokens} tokens charged")
        }
        StepEvent::Cancelled => "the caller hung up".to_owned(),
        StepEvent::Failed { kind, run } => {
            format!("ended with {} ({})", kind.answer().code, run.as_str())
        }
    }
}
