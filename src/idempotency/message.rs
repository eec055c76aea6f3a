//! Messages between VMs about records of non-idempotent calls.

use super::AttemptId;
use super::RecordCopy;
use super::RecordId;

/// A message between VMs about records of non-idempotent calls.
#[derive(Clone, Debug, PartialEq)]
pub enum IdempotencyMessage {
    /// Asks a replica to store and acknowledge a record.
    Prepare(Box<RecordCopy>),
    /// The replica stores the record and votes for the submission.
    Prepared {
        /// The identifier of the call.
        id: RecordId,
        /// The submission.
        attempt: AttemptId,
    },
    /// The replica has no vote: it has not yet read the records of its peers, or its table is full.
    Unsettled {
        /// The identifier of the call.
        id: RecordId,
        /// The submission.
        attempt: AttemptId,
    },
    /// The replica stores a record of another submission.
    Known {
        /// The submission that the replica was asked to acknowledge.
        asked: AttemptId,
        /// The record that the replica stores.
        copy: Box<RecordCopy>,
    },
    /// Sends a replica a record to store, or the outcome of one that it stores.
    Update(Box<RecordCopy>),
    /// Asks the coordinator of a submission for its outcome.
    Query {
        /// The identifier of the call.
        id: RecordId,
        /// The submission.
        attempt: AttemptId,
    },
    /// The submission did not run and never will.
    Release {
        /// The identifier of the call.
        id: RecordId,
        /// The submission.
        attempt: AttemptId,
    },
    /// Asks for a page of the records that the sender is a replica of.
    SyncRequest {
        /// The random number that identifies the process of the sender.
        boot: u64,
        /// The last record that the sender has received; `None` for the first page.
        after: Option<RecordId>,
    },
    /// A page of records, the reply to a `SyncRequest`.
    SyncPage {
        /// The `boot` of the request.
        boot: u64,
        /// The `after` of the request.
        after: Option<RecordId>,
        /// The records.
        records: Vec<RecordCopy>,
        /// The last record of the page if more follow, else `None`.
        next: Option<RecordId>,
    },
}
