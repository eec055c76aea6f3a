//! Records in messages between VMs.

use std::time::Duration;

use super::AttemptId;
use super::CallOutcome;
use super::Fingerprint;
use super::RecordId;
use crate::catalog::RouteKey;

/// A record as it is sent to another VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordCopy {
    /// The identifier of the call.
    pub id: RecordId,
    /// The route.
    pub route: RouteKey,
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The submission that the record was created for.
    pub attempt: AttemptId,
    /// The progress of the submission.
    pub state: CopyState,
    /// The time since the record was created.
    pub age: Duration,
}

/// The progress of a submission, as far as the sender knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyState {
    /// It has no outcome yet; it may proceed or may have proceeded.
    Prepared,
    /// It ended.
    Finished(CallOutcome),
}
