//! Messages between VMs about records of non-idempotent calls.

use super::AttemptId;
use super::RecordCopy;
use super::RecordId;

/// A message between VMs about records of non-idempotent calls.
#[derive(Clone, Debug, PartialEq)]
pub enum IdempotencyMessage {
    /// Asks a replica to keep a record.
    Prepare(Box<RecordCopy>),
    /// The record is kept.
    Prepared {
        /// The name of the call.
        id: RecordId,
        /// The submission.
        attempt: AttemptId,
    },
    /// The replica has started lately and has no vote yet.
    Unsettled {
        /// The name of the call.
        id: RecordId,
        /// The submission.
        attempt: AttemptId,
    },
    /// The replica keeps a record of another submission.
    Known {
        /// The submission that asked.
        asked: AttemptId,
        /// What the replica keeps.
        copy: Box<RecordCopy>,
    },
    /// Tells a replica about a record, to keep it or to bring it up to date.
    Update(Box<RecordCopy>),
    /// Asks the coordinator of a submission what became of it.
    Query {
        /// The name of the call.
        id: RecordId,
        /// The submission.
        attempt: AttemptId,
    },
    /// The submission did not run and never will.
    Release {
        /// The name of the call.
        id: RecordId,
        /// The submission.
        attempt: AttemptId,
    },
    /// Asks for records, some at a time.
    SyncRequest {
        /// The number that the asking process drew when it started.
        boot: u64,
        /// The last record that it got.
        after: Option<RecordId>,
    },
    /// Some of the sender's records.
    SyncPage {
        /// The number of the request.
        boot: u64,
        /// The last record that the request named.
        after: Option<RecordId>,
        /// The records.
        records: Vec<RecordCopy>,
        /// The last record of the page, if further ones follow.
        next: Option<RecordId>,
    },
}
