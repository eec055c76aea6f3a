//! Records that keep a non-idempotent call from running twice.
//!
//! A call is named by its client account and its idempotency key. Both give a home region, which is
//! a pure function of the published state, and three replicas among the VMs of that region. Any VM
//! of the home region may coordinate a submission: it has the record acknowledged by a majority of
//! the replicas, at least two copies in all, before anything goes to an endpoint. A replica
//! acknowledges one submission for a key; for any other it tells what it knows. Two majorities of
//! the same three replicas share a VM, so two submissions never both proceed, whichever VMs the
//! coordinators take for alive.
//!
//! What a repeat gets:
//!
//! - the stored answer of the first submission, if that ended and its answer was small enough;
//! - `call_in_progress` while the coordinator of the first submission is alive and has not told an
//!   outcome;
//! - `outcome_unknown`, with `ran` if the answer was not kept and `may_have_run` otherwise, if the
//!   outcome is lost;
//! - `idempotency_key_reused` if the request is a different one;
//! - a run of its own, if the first submission was given up before anything was sent: it was
//!   answered `record_unacknowledged`, or the endpoint said that it did not run. A coordinator
//!   that gives a submission up never lets it proceed later, and tells the replicas to release the
//!   record. A replica that does not hear this asks the coordinator until it answers, and tells
//!   repeats `call_in_progress` meanwhile. If the coordinator is replaced before it answers, the
//!   key stays `outcome_unknown` until the record expires.
//!
//! While a change of the published state spreads, a submission needs the majorities of the replicas
//! before and after the change, and is refused as not run if the home region differs; the holders
//! copy their records to the new replicas in that time. A VM that starts has no vote before it has
//! read the records of the other VMs of its region.
//!
//! These sequences stay unprotected; a repeat may run again if one of them comes between the first
//! submission and the repeat:
//!
//! - two of the three replicas are replaced before the records of the first are read by the VM in
//!   its place, or a majority of them at once;
//! - one replica is replaced, and the only other holder is out of reach for longer than the settle
//!   time (60 s) but comes back later;
//! - a change of the roster or of the home region reaches one VM more than the hand-over time
//!   (30 s) after another, or the holders cannot copy a record in that time;
//! - the record has expired (24 h), or the clock of the process stood still while it was suspended
//!   between the acknowledgement and the sending for longer than that;
//! - the caller repeats the call under another idempotency key or another client account;
//! - the service itself runs one received request twice.

mod action;
mod attempt_id;
mod call_outcome;
mod controller;
mod exchange;
mod fingerprint;
mod hand_over;
mod handlers;
mod message;
mod pending;
mod placement;
mod record;
mod record_copy;
mod record_id;
mod record_table;
mod replies;
mod settings;
mod settling;
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
