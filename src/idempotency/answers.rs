//! Answers to submissions that do not run.

use super::record::Record;
use super::record::RecordState;
use super::CallOutcome;
use super::Fingerprint;
use super::IdempotencyAnswer;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::errors::RunState;
use crate::membership::Liveness;
use crate::membership::MembershipView;

/// Returns the answer to a duplicate with `fingerprint` of the call of `record`.
pub(super) fn answer_duplicate(
    view: &MembershipView,
    record: &Record,
    fingerprint: Fingerprint,
) -> IdempotencyAnswer {
    if record.fingerprint != fingerprint {
        return failed(
            ErrorKind::IdempotencyKeyReused,
            "the idempotency key was used for a different request",
        );
    }
    match &record.state {
        RecordState::Finished(CallOutcome::Completed(answer)) => {
            IdempotencyAnswer::Stored(answer.clone())
        }
        RecordState::Finished(CallOutcome::RanUnkept) => IdempotencyAnswer::Failed(
            GatewayError::new(
                ErrorKind::OutcomeUnknown,
                "the first submission ran, but its answer was not stored",
            )
            .with_run(RunState::Ran),
        ),
        RecordState::Finished(CallOutcome::Unknown | CallOutcome::NotRun) => failed(
            ErrorKind::OutcomeUnknown,
            "the outcome of the first submission is not known",
        ),
        RecordState::Running => in_progress(),
        RecordState::Prepared if is_coordinator_alive(view, record) => in_progress(),
        RecordState::Prepared => failed(
            ErrorKind::OutcomeUnknown,
            "the VM that coordinated the first submission is not alive",
        ),
    }
}

/// Returns the answer to a submission whose record was not acknowledged; it did not run.
pub(super) fn unacknowledged(message: &str) -> IdempotencyAnswer {
    failed(ErrorKind::RecordUnacknowledged, message)
}

/// Returns the answer to a submission while an earlier one of the same key is in progress.
pub(super) fn in_progress() -> IdempotencyAnswer {
    failed(
        ErrorKind::CallInProgress,
        "the first submission has not ended",
    )
}

/// Returns an answer with an error of `kind`.
pub(super) fn failed(kind: ErrorKind, message: &str) -> IdempotencyAnswer {
    IdempotencyAnswer::Failed(GatewayError::new(kind, message))
}

fn is_coordinator_alive(view: &MembershipView, record: &Record) -> bool {
    view.vms
        .get(record.attempt.coordinator)
        .is_some_and(|vm| matches!(vm.liveness, Liveness::Alive | Liveness::Suspected))
}
