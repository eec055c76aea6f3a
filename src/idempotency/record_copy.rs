//! Records as they travel between VMs.

use std::time::Duration;

use super::AttemptId;
use super::CallOutcome;
use super::Fingerprint;
use super::RecordId;
use crate::catalog::RouteKey;

/// A record as it travels between VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordCopy {
    /// The name of the call.
    pub id: RecordId,
    /// The route.
    pub route: RouteKey,
    /// What the call asks for.
    pub fingerprint: Fingerprint,
    /// The submission that the record was made for.
    pub attempt: AttemptId,
    /// How far the submission got.
    pub state: CopyState,
    /// The time since the record was made.
    pub age: Duration,
}

/// How far a submission got, as far as the sender knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyState {
    /// It may proceed, or have proceeded.
    Prepared,
    /// It ended.
    Finished(CallOutcome),
}
