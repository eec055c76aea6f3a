//! The record of a call.

use super::AttemptId;
use super::CallOutcome;
use super::CopyState;
use super::Fingerprint;
use super::RecordCopy;
use super::RecordId;
use crate::catalog::RouteKey;
use crate::clock::Monotonic;

/// The record of a call, as one VM stores it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Record {
    pub(super) route: RouteKey,
    pub(super) fingerprint: Fingerprint,
    pub(super) attempt: AttemptId,
    pub(super) state: RecordState,
    pub(super) created_at: Monotonic,
}

/// The progress of a submission, as far as this VM knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RecordState {
    /// Stored; only the coordinator knows whether the submission proceeded.
    Prepared,
    /// This VM is the coordinator and let the submission proceed.
    Running,
    /// It ended.
    Finished(CallOutcome),
}

impl Record {
    /// Returns the copy to send to other VMs; they see a running call as prepared.
    pub(super) fn copy(&self, now: Monotonic, id: &RecordId) -> RecordCopy {
        let state = match &self.state {
            RecordState::Prepared | RecordState::Running => CopyState::Prepared,
            RecordState::Finished(outcome) => CopyState::Finished(outcome.clone()),
        };
        RecordCopy {
            id: id.clone(),
            route: self.route,
            fingerprint: self.fingerprint,
            attempt: self.attempt,
            state,
            age: now.since(self.created_at),
        }
    }

    /// Creates a record from a copy received at `now`.
    pub(super) fn from_copy(now: Monotonic, copy: &RecordCopy) -> Self {
        let age_us = copy.age.as_micros() as u64;
        let state = match &copy.state {
            CopyState::Prepared => RecordState::Prepared,
            CopyState::Finished(outcome) => RecordState::Finished(outcome.clone()),
        };
        Self {
            route: copy.route,
            fingerprint: copy.fingerprint,
            attempt: copy.attempt,
            state,
            created_at: Monotonic::from_us(now.as_us().saturating_sub(age_us)),
        }
    }
}
