//! When a failed attempt is retried.

use std::time::Duration;

use figramp::catalog::Repeatability;
use figramp::errors::ErrorKind;
use figramp::errors::GatewayError;
use figramp::errors::RunState;
use figramp::retry::AttemptFailure;
use figramp::retry::RetryBudget;
use figramp::retry::RetryDecision;
use figramp::retry::RetryPolicy;

const RUN_STATES: [RunState; 3] = [RunState::NotRun, RunState::MayHaveRun, RunState::Ran];

fn failure(kind: ErrorKind) -> AttemptFailure {
    AttemptFailure {
        error: GatewayError::new(kind, "failed"),
        repeatability: Repeatability::Idempotent,
        can_resume: true,
        chunks_passed: 0,
        attempts: 1,
        remaining: Duration::from_secs(10),
        expected_first_event: Duration::from_millis(100),
    }
}

fn decide(failure: AttemptFailure) -> RetryDecision {
    RetryPolicy::default().decide(failure, &RetryBudget::default())
}

#[test]
fn a_non_idempotent_call_is_retried_only_if_no_byte_can_have_been_sent() {
    for kind in ErrorKind::ALL {
        for run in RUN_STATES {
            for chunks_passed in [0, 1] {
                let failure = AttemptFailure {
                    error: GatewayError::new(kind, "failed").with_run(run),
                    repeatability: Repeatability::NonIdempotent,
                    chunks_passed,
                    ..failure(kind)
                };
                let may_have_been_sent = run != RunState::NotRun
                    || kind == ErrorKind::EndpointRefused
                    || chunks_passed > 0;
                if may_have_been_sent {
                    let expected = RetryDecision::Fail(failure.error.clone());
                    assert_eq!(decide(failure), expected);
                }
            }
        }
    }
}

#[test]
fn errors_that_another_endpoint_cannot_fix_are_final() {
    for kind in [
        ErrorKind::InvalidKey,
        ErrorKind::RateLimited,
        ErrorKind::DeadlineExceeded,
        ErrorKind::OutcomeUnknown,
        ErrorKind::RecordUnacknowledged,
        ErrorKind::Internal,
    ] {
        assert!(matches!(decide(failure(kind)), RetryDecision::Fail(_)));
    }
}

#[test]
fn a_started_answer_is_resumed_and_never_restarted() {
    let started = AttemptFailure {
        chunks_passed: 7,
        ..failure(ErrorKind::AnswerSilent)
    };
    assert_eq!(decide(started.clone()), RetryDecision::ResumeFrom(7));
    let unresumable = AttemptFailure {
        can_resume: false,
        ..started
    };
    assert!(matches!(decide(unresumable), RetryDecision::Fail(_)));
    let unstarted = failure(ErrorKind::AnswerSilent);
    assert_eq!(decide(unstarted), RetryDecision::RetryElsewhere);
}

#[test]
fn attempts_are_bounded_by_number_time_and_budget() {
    let exhausted = AttemptFailure {
        attempts: RetryPolicy::default().attempts_max,
        ..failure(ErrorKind::EndpointFailed)
    };
    assert!(matches!(decide(exhausted), RetryDecision::Fail(_)));
    let late = AttemptFailure {
        remaining: Duration::from_millis(50),
        ..failure(ErrorKind::EndpointFailed)
    };
    assert!(matches!(decide(late), RetryDecision::Fail(_)));
    let budget = RetryBudget::default();
    let retries = |budget: &RetryBudget| {
        (0..1_000)
            .filter(|_| {
                let failure = failure(ErrorKind::EndpointFailed);
                RetryPolicy::default().decide(failure, budget) == RetryDecision::RetryElsewhere
            })
            .count()
    };
    assert_eq!(retries(&budget), 20);
    for _ in 0..100 {
        budget.on_request();
    }
    assert_eq!(retries(&budget), 10);
}
