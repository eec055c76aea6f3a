//! Explanations in JSON.

use serde::Deserialize;
use serde::Serialize;

use crate::catalog::Name;
use crate::operator::Candidate;
use crate::operator::Explanation;
use crate::operator::ExplanationStep;
use crate::operator::StepEvent;

/// The explanations of one request by several VMs.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ExplanationSetWire {
    /// The request.
    pub request_id: String,
    /// The explanations, by the time at which each VM received the request, earliest first.
    pub explanations: Vec<ExplanationWire>,
    /// The VMs that gave no answer.
    pub missing_vms: Vec<String>,
}

/// The explanation of one request by one VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ExplanationWire {
    /// The VM.
    pub vm: String,
    /// When the VM received the request, in milliseconds since the Unix epoch.
    pub received_at_unix_ms: u64,
    /// What happened, in order.
    pub steps: Vec<StepWire>,
}

/// One step in the handling of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct StepWire {
    /// The time since the request was received, in microseconds.
    pub after_us: u64,
    /// The code of the event.
    pub event: String,
    /// The event as readable text.
    pub text: String,
    /// The candidates of a routing decision; empty for other events.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub candidates: Vec<CandidateWire>,
}

/// A candidate of a routing decision.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct CandidateWire {
    /// Its name.
    pub name: String,
    /// Whether it was chosen, and if not, why; the text of a
    /// [`CandidateOutcome`](crate::operator::CandidateOutcome).
    pub fate: String,
}

impl ExplanationWire {
    /// Creates the JSON form of an explanation by `vm`.
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
