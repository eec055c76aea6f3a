//! Decides whether a failed attempt is retried.

use super::AttemptFailure;
use super::RetryBudget;
use super::RetryDecision;
use crate::catalog::Repeatability;
use crate::errors::ErrorKind;
use crate::errors::RunState;

const ATTEMPTS_MAX: u32 = 3;

/// Decides whether a failed attempt is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// The most attempts for one request on one VM, the first one included.
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
    /// Decides whether a failed attempt is retried, and takes the retry from `budget`.
    ///
    /// A non-idempotent call is retried only if no byte of it can have reached an endpoint. The
    /// error of a call that is not retried keeps its run state.
    pub fn decide(&self, failure: AttemptFailure, budget: &RetryBudget) -> RetryDecision {
        let Some(decision) = allowed_decision(&failure) else {
            return RetryDecision::Fail(failure.error);
        };
        let is_in_time = failure.expected_first_event < failure.remaining;
        if failure.attempts >= self.attempts_max || !is_in_time || !budget.try_take() {
            return RetryDecision::Fail(failure.error);
        }
        decision
    }
}

fn allowed_decision(failure: &AttemptFailure) -> Option<RetryDecision> {
    if !is_retryable(failure.error.kind) {
        return None;
    }
    if failure.repeatability == Repeatability::NonIdempotent {
        return is_unsent(failure).then_some(RetryDecision::RetryElsewhere);
    }
    if failure.chunks_passed == 0 {
        return Some(RetryDecision::RetryElsewhere);
    }
    failure
        .can_resume
        .then_some(RetryDecision::ResumeFrom(failure.chunks_passed))
}

/// Returns whether no byte of the call can have reached an endpoint.
///
/// A refusal by an endpoint means that the call was sent, so it does not count as unsent.
fn is_unsent(failure: &AttemptFailure) -> bool {
    failure.error.run == RunState::NotRun
        && failure.error.kind != ErrorKind::EndpointRefused
        && failure.chunks_passed == 0
}

/// Returns whether another endpoint or connection may succeed after an error of this kind.
fn is_retryable(kind: ErrorKind) -> bool {
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
