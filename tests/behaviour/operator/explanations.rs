//! Explanations are bounded in number and size and render as recorded.

use figramp::clock::Monotonic;
use figramp::errors::ErrorKind;
use figramp::operator::render::explanation_text;
use figramp::operator::wire::ExplanationSetWire;
use figramp::operator::wire::ExplanationWire;
use figramp::operator::Candidate;
use figramp::operator::CandidateOutcome;
use figramp::operator::ExplanationBuilder;
use figramp::operator::Explanations;
use figramp::operator::StepEvent;
use figramp::operator::EXPLANATION_MAX_CANDIDATES;
use figramp::operator::EXPLANATION_MAX_STEPS;
use figramp::request::RequestId;

use super::fixture::at;
use super::fixture::name;

fn builder(id: u128) -> ExplanationBuilder {
    ExplanationBuilder::new(RequestId(id), Monotonic::from_ms(10), at(9, 30))
}

#[test]
fn the_oldest_explanation_is_evicted() {
    let explanations = Explanations::new(2);
    for id in [1, 2, 2, 3] {
        explanations.put(builder(id).build());
    }
    let is_stored = [1, 2, 3].map(|id| explanations.get(RequestId(id)).is_some());
    assert_eq!(is_stored, [false, true, true]);
}

#[test]
fn an_explanation_is_bounded_in_steps_and_candidates() {
    let mut builder = builder(1);
    let candidate = Candidate {
        name: name("engine"),
        outcome: CandidateOutcome::Full,
    };
    for _ in 0..2 * EXPLANATION_MAX_STEPS {
        let candidates = vec![candidate.clone(); 2 * EXPLANATION_MAX_CANDIDATES];
        builder.add(Monotonic::from_ms(11), StepEvent::Weighed { candidates });
    }
    builder.add(Monotonic::from_ms(12), StepEvent::Cancelled);
    let explanation = builder.build();
    assert_eq!(explanation.steps.len(), EXPLANATION_MAX_STEPS);
    let last = explanation.steps.last().unwrap();
    assert_eq!(last.event, StepEvent::Cancelled);
    assert!(explanation.steps.iter().all(|step| match &step.event {
        StepEvent::Weighed { candidates } => candidates.len() == EXPLANATION_MAX_CANDIDATES,
        _ => true,
    }));
}

#[test]
fn the_text_is_as_recorded() {
    let mut builder = builder(0xabc);
    let candidate_of = |text: &str, outcome| Candidate {
        name: name(text),
        outcome,
    };
    let events = [
        StepEvent::Resolved {
            client_account: Some(name("bloomplan")),
            route: name("advice"),
        },
        StepEvent::Reserved { tokens: 612 },
        StepEvent::Weighed {
            candidates: vec![
                candidate_of("brisbane-engine-1", CandidateOutcome::Full),
                candidate_of("sydney-engine-1", CandidateOutcome::RegionNotAllowed),
                candidate_of("brisbane-engine-2", CandidateOutcome::Chosen),
            ],
        },
        StepEvent::Sent {
            endpoint: name("brisbane-engine-2"),
        },
        StepEvent::Retried {
            kind: ErrorKind::AnswerSilent,
        },
        StepEvent::FirstToken,
        StepEvent::Answered {
            charged_tokens: 410,
        },
    ];
    for (index, event) in (0..).zip(events) {
        builder.add(Monotonic::from_ms(10 + index * 40), event);
    }
    let set = ExplanationSetWire {
        request_id: RequestId(0xabc).to_string(),
        explanations: vec![ExplanationWire::new(&name("brisbane-1"), &builder.build())],
        missing_vms: vec!["townsville-1".to_owned()],
    };
    insta::assert_snapshot!(explanation_text(&set));
}
