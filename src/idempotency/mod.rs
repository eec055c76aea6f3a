//! Records that keep a non-idempotent call from running twice.
//!
//! A record is identified by the client account and the idempotency key of the call. The identifier
//! and the published state determine a home region and three replicas among the VMs of that region.
//! Any VM of the home region may coordinate a submission: before anything is sent to an endpoint, a
//! majority of the replicas must acknowledge the record, and at least two VMs must store it. A
//! replica acknowledges one submission per key; for any other it replies with the record that it
//! stores. Two majorities of the same three replicas share a VM, so two submissions never both
//! proceed, whichever VMs the coordinators consider alive.
//!
//! A duplicate (a later submission with the same account and key) gets:
//!
//! - the stored answer of the first submission, if that ended and its answer was small enough;
//! - `call_in_progress` while the coordinator of the first submission is alive and has not reported
//!   an outcome;
//! - `outcome_unknown`, with `ran` if the answer was not stored and `may_have_run` otherwise, if the
//!   outcome is lost;
//! - `idempotency_key_reused` if the request is a different one;
//! - a new run, if the first submission certainly did not run: its coordinator aborted it before
//!   sending anything and answered `record_unacknowledged`, or the endpoint reported that it did not
//!   run. A coordinator never lets an aborted submission proceed later, and sends the replicas a
//!   release of the record. A replica that misses the release queries the coordinator until it
//!   replies; duplicates get `call_in_progress` meanwhile. If the coordinator is replaced before it
//!   replies, the key stays `outcome_unknown` until the record expires.
//!
//! While a change of the published state spreads, a submission needs the majorities of the replicas
//! before and after the change, and is refused as not run if the home region differs; the VMs that
//! store records copy them to the new replicas in that time. A VM that starts has no vote before it
//! has read the records of the other VMs of its region.
//!
//! A duplicate may run again if one of these happens between the first submission and the
//! duplicate:
//!
//! - two of the three replicas are replaced before the replacement of the first one has read the
//!   records, or a majority of them at once;
//! - one replica is replaced, and the only other VM with the record is unreachable for longer than
//!   the full-sync timeout (60 s) but comes back later;
//! - a change of the roster or of the home region reaches one VM more than the transition time
//!   (30 s) after another, or a record cannot be copied in that time;
//! - the record has expired (24 h), or the process was suspended between the acknowledgement and the
//!   sending for longer than that while its clock stood still;
//! - the caller sends the call again under another idempotency key or another client account;
//! - the service itself runs one received request twice.

mod action;
mod answers;
mod attempt_id;
mod call_outcome;
mod catalog_transition;
mod controller;
mod exchange;
mod fingerprint;
mod handlers;
mod initial_sync;
mod message;
mod pending_submission;
mod placement;
mod record;
mod record_copy;
mod record_id;
mod record_table;
mod settings;
mod wire;
mod wire_ids;
mod wire_record;

pub use action::IdempotencyAction;
pub use action::IdempotencyAnswer;
pub use attempt_id::AttemptId;
pub use call_outcome::CallOutcome;
pub use call_outcome::StoredAnswer;
pub use controller::IdempotencyController;
pub use fingerprint::Fingerprint;
pub use message::IdempotencyMessage;
pub use placement::home_region;
pub use placement::home_vm;
pub use placement::replica_set;
pub use record_copy::CopyState;
pub use record_copy::RecordCopy;
pub use record_id::RecordId;
pub use settings::IdempotencySettings;
