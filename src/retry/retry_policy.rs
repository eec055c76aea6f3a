//! Decides what follows a failed attempt.

use super::AttemptFailure;
use super::RetryBudget;
use super::RetryDecision;
use crate::catalog::Repeatability;
use crate::errors::ErrorKind;
use crate::errors::RunState;

const ATTEMPTS_MAX: u32 = 3;

/// Decides what follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// The most attempts of one request on one VM.
    pub attempts_max: u32,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            attempts_max: ATTEMPTS_MAX,
        }
    }
}

impl RetryPolicy {
    /// Decides what follows a failed attempt.
    ///
    /// A non-idempotent call is sent again only if the attempt certainly did not run. The error of
    /// a call that is given up keeps its run state.
    pub fn decide(&self, failure: AttemptFailure, budget: &RetryBudget) -> RetryDecision {
        let Some(decision) = allowed_decision(&failure) else {
            return RetryDecision::GiveUp(failure.error);
        };
        let is_in_time = failure.expected_first_event < failure.remaining;
        if failure.attempts >= self.attempts_max || !is_in_time || !budget.try_take() {
            return RetryDecision::GiveUp(failure.error);
        }
        decision
    }
}

fn allowed_decision(failure: &AttemptFailure) -> Option<RetryDecision> {
    if !is_attempt_fault(failure.error.kind) {
        return None;
    }
    let is_repeatable = failure.repeatability == Repeatability::Idempotent;
    if failure.error.run == RunState::NotRun && failure.chunks_passed == 0 {
        return Some(RetryDecision::RetryElsewhere);
    }
    if !is_repeatable {
        return None;
    }
    if failure.chunks_passed == 0 {
        return Some(RetryDecision::RetryElsewhere);
    }
    failure
        .can_resume
        .then_some(RetryDecision::ResumeFrom(failure.chunks_passed))
}

/// Tells whether another endpoint or connection may do better.
fn is_attempt_fault(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::EndpointRefused
            | ErrorKind::EndpointFailed
            | ErrorKind::AnswerTruncated
            | ErrorKind::AnswerSilent
            | ErrorKind::PeerUnreachable
            | ErrorKind::Draining
            | ErrorKind::NotReady
            | ErrorKind::Overloaded
            | ErrorKind::NoEndpoint
    )
}
