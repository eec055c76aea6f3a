//! The state machine that coordinates submissions and acts as a replica.

use std::collections::HashMap;
use std::sync::Arc;

use super::answers;
use super::catalog_transition::CatalogTransition;
use super::initial_sync::InitialSync;
use super::pending_submission::PendingSubmission;
use super::record::Record;
use super::record::RecordState;
use super::record_table::RecordTable;
use super::AttemptId;
use super::CallOutcome;
use super::Fingerprint;
use super::IdempotencyAction;
use super::IdempotencyAnswer;
use super::IdempotencyMessage;
use super::IdempotencySettings;
use super::RecordId;
use crate::catalog::Catalog;
use crate::catalog::RegionKey;
use crate::catalog::ServiceState;
use crate::catalog::VmKey;
use crate::clock::Monotonic;
use crate::errors::ErrorKind;
use crate::membership::Liveness;
use crate::membership::MembershipView;
use crate::request::Call;
use crate::request::RequestId;

/// Coordinates submissions and stores records as a replica of other coordinators.
///
/// A VM of the home region calls [`begin`](Self::begin) for each submission of a non-idempotent
/// call, sends the call to an endpoint only on [`IdempotencyAction::Proceed`], and then reports the
/// outcome with [`finish`](Self::finish).
#[derive(Clone, Debug)]
pub struct IdempotencyController {
    pub(super) local_vm: VmKey,
    pub(super) boot: u64,
    pub(super) settings: IdempotencySettings,
    pub(super) transition: CatalogTransition,
    pub(super) records: RecordTable,
    pub(super) pending: HashMap<u64, PendingSubmission>,
    pub(super) running: HashMap<RequestId, RecordId>,
    pub(super) initial_sync: InitialSync,
    pub(super) copy_cursor: Option<RecordId>,
    pub(super) queried_at: Monotonic,
    last_sequence: u64,
}

impl IdempotencyController {
    /// Creates the controller of a process that has just started.
    ///
    /// `boot` is a random number that identifies the process.
    pub fn new(
        now: Monotonic,
        local_vm: VmKey,
        boot: u64,
        settings: IdempotencySettings,
        catalog: Arc<Catalog>,
    ) -> Self {
        Self {
            local_vm,
            boot,
            settings,
            transition: CatalogTransition::new(catalog),
            records: RecordTable::default(),
            pending: HashMap::new(),
            running: HashMap::new(),
            initial_sync: InitialSync::new(now),
            copy_cursor: None,
            queried_at: now,
            last_sequence: 0,
        }
    }

    /// Applies a new published state.
    pub fn on_catalog(&mut self, now: Monotonic, catalog: Arc<Catalog>) {
        if self.transition.replace(now, &self.settings, catalog) {
            self.copy_cursor = None;
        }
    }

    /// Begins a submission; this call or a later one adds `Proceed` or `Answer` for it to `out`.
    pub fn begin(
        &mut self,
        now: Monotonic,
        view: &MembershipView,
        call: &Call,
        out: &mut Vec<IdempotencyAction>,
    ) {
        let answer = match RecordId::of_call(call) {
            Some(id) => self.begin_with_id(now, view, call, id, out),
            None => Some(answers::failed(
                ErrorKind::MissingIdempotencyKey,
                "a non-idempotent call needs an idempotency key",
            )),
        };
        if let Some(answer) = answer {
            out.push(IdempotencyAction::Answer {
                id: call.id,
                answer,
            });
        }
    }

    /// Records the outcome of a submission that proceeded, and sends it to the replicas.
    pub fn finish(
        &mut self,
        now: Monotonic,
        request: RequestId,
        outcome: CallOutcome,
        out: &mut Vec<IdempotencyAction>,
    ) {
        let Some(id) = self.running.remove(&request) else {
            return;
        };
        let Some(mut record) = self.records.get(&id).cloned() else {
            return;
        };
        if outcome == CallOutcome::NotRun {
            self.records.remove(&id);
            let message = IdempotencyMessage::Release {
                id: id.clone(),
                attempt: record.attempt,
            };
            self.send_to_replicas(&id, &message, out);
            return;
        }
        record.state = RecordState::Finished(outcome.bounded(self.settings.answer_max_bytes));
        let message = IdempotencyMessage::Update(Box::new(record.copy(now, &id)));
        self.send_to_replicas(&id, &message, out);
        self.records.put(&self.settings, &id, record);
    }

    /// Aborts late submissions, requests missing records and outcomes, and expires records.
    pub fn tick(
        &mut self,
        now: Monotonic,
        view: &MembershipView,
        out: &mut Vec<IdempotencyAction>,
    ) {
        self.transition.expire(now);
        self.records.expire(now, &self.settings);
        self.advance_all(now, view, out);
        self.request_records(now, out);
        self.copy_records(now, out);
        self.query_coordinators(now, view, out);
    }

    /// Returns when [`tick`](Self::tick) is due next for a pending submission.
    pub fn next_deadline(&self, now: Monotonic) -> Option<Monotonic> {
        self.pending
            .values()
            .map(|pending| {
                if now < pending.majority_at {
                    pending.majority_at
                } else {
                    pending.deadline
                }
            })
            .min()
    }

    /// Returns whether this VM has read the records of its peers and so has a vote.
    pub fn is_synced(&self) -> bool {
        self.initial_sync.is_synced()
    }

    /// Returns the number of records that this VM stores.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    fn begin_with_id(
        &mut self,
        now: Monotonic,
        view: &MembershipView,
        call: &Call,
        id: RecordId,
        out: &mut Vec<IdempotencyAction>,
    ) -> Option<IdempotencyAnswer> {
        let fingerprint = Fingerprint::of_call(self.transition.catalog(), call);
        if let Some(record) = self.records.get(&id) {
            return Some(answers::answer_duplicate(view, record, fingerprint));
        }
        let region = self.transition.home_region(call.route, &id);
        let Some(region) = region.filter(|region| Some(*region) == self.local_region()) else {
            let message = "the call's home region is another one, or is changing";
            return Some(answers::unacknowledged(message));
        };
        let record = self.new_record(now, call, fingerprint);
        let pending = self.new_pending(now, call, region, &id, &record);
        let copy = record.copy(now, &id);
        if !self.records.put(&self.settings, &id, record) {
            let message = "the table of idempotency records is full";
            return Some(answers::failed(ErrorKind::Overloaded, message));
        }
        for to in pending.replicas() {
            if to != self.local_vm {
                let message = IdempotencyMessage::Prepare(Box::new(copy.clone()));
                out.push(IdempotencyAction::Send { to, message });
            }
        }
        self.pending.insert(pending.attempt.sequence, pending);
        None
    }

    fn new_record(&mut self, now: Monotonic, call: &Call, fingerprint: Fingerprint) -> Record {
        self.last_sequence += 1;
        Record {
            route: call.route,
            fingerprint,
            attempt: AttemptId {
                coordinator: self.local_vm,
                boot: self.boot,
                sequence: self.last_sequence,
            },
            state: RecordState::Prepared,
            created_at: now,
        }
    }

    fn new_pending(
        &self,
        now: Monotonic,
        call: &Call,
        region: RegionKey,
        id: &RecordId,
        record: &Record,
    ) -> PendingSubmission {
        let mut pending = PendingSubmission {
            request: call.id,
            id: id.clone(),
            fingerprint: record.fingerprint,
            attempt: record.attempt,
            replica_sets: self.transition.replica_sets(region, id),
            acknowledged: Vec::new(),
            replied: Vec::new(),
            majority_at: now + self.settings.ack_timeout / 2,
            deadline: now + self.settings.ack_timeout,
        };
        pending.record_reply(self.local_vm, self.initial_sync.is_synced());
        pending
    }

    /// Lets a submission proceed if it is acknowledged, or aborts it after its deadline.
    ///
    /// The deadline is checked first, so that a VM resumed after a pause lets nothing proceed.
    pub(super) fn advance(
        &mut self,
        now: Monotonic,
        view: &MembershipView,
        sequence: u64,
        out: &mut Vec<IdempotencyAction>,
    ) {
        let Some(pending) = self.pending.get(&sequence) else {
            return;
        };
        if now >= pending.deadline {
            let answer = answers::unacknowledged("too few VMs acknowledged the record in time");
            self.abort(sequence, answer, out);
            return;
        }
        let has_replies =
            now >= pending.majority_at || pending.has_replies_from(|vm| is_alive(view, vm));
        if pending.is_acknowledged() && has_replies {
            self.proceed(sequence, out);
        }
    }

    /// Aborts a submission that has not proceeded, and has the replicas release its record.
    pub(super) fn abort(
        &mut self,
        sequence: u64,
        answer: IdempotencyAnswer,
        out: &mut Vec<IdempotencyAction>,
    ) {
        let Some(pending) = self.pending.remove(&sequence) else {
            return;
        };
        let is_recorded = self
            .records
            .get(&pending.id)
            .is_some_and(|record| record.attempt == pending.attempt);
        if is_recorded {
            self.records.remove(&pending.id);
        }
        for to in pending.replicas() {
            if to != self.local_vm {
                let message = IdempotencyMessage::Release {
                    id: pending.id.clone(),
                    attempt: pending.attempt,
                };
                out.push(IdempotencyAction::Send { to, message });
            }
        }
        out.push(IdempotencyAction::Answer {
            id: pending.request,
            answer,
        });
    }

    /// Returns the other active VMs of the local region.
    pub(super) fn other_vms(&self) -> Vec<VmKey> {
        let catalog = self.transition.catalog();
        let Some(region) = self.local_region() else {
            return Vec::new();
        };
        catalog
            .published_vms_in(region)
            .filter(|vm| *vm != self.local_vm)
            .filter(|vm| catalog.vms[*vm].state == ServiceState::Active)
            .collect()
    }

    /// Returns the local region, or `None` if the roster does not list this VM.
    pub(super) fn local_region(&self) -> Option<RegionKey> {
        let vm = self.transition.catalog().vms.get(self.local_vm)?;
        Some(vm.region)
    }

    fn proceed(&mut self, sequence: u64, out: &mut Vec<IdempotencyAction>) {
        let Some(pending) = self.pending.remove(&sequence) else {
            return;
        };
        self.records.set_running(&pending.id);
        self.running.insert(pending.request, pending.id);
        out.push(IdempotencyAction::Proceed {
            id: pending.request,
        });
    }

    fn advance_all(
        &mut self,
        now: Monotonic,
        view: &MembershipView,
        out: &mut Vec<IdempotencyAction>,
    ) {
        let mut sequences: Vec<u64> = self.pending.keys().copied().collect();
        sequences.sort_unstable();
        for sequence in sequences {
            self.advance(now, view, sequence, out);
        }
    }

    fn send_to_replicas(
        &self,
        id: &RecordId,
        message: &IdempotencyMessage,
        out: &mut Vec<IdempotencyAction>,
    ) {
        let Some(region) = self.local_region() else {
            return;
        };
        for to in self.transition.replicas(region, id) {
            if to != self.local_vm {
                out.push(IdempotencyAction::Send {
                    to,
                    message: message.clone(),
                });
            }
        }
    }
}

fn is_alive(view: &MembershipView, vm: VmKey) -> bool {
    vm == view.local_vm
        || view
            .vms
            .get(vm)
            .is_some_and(|vm| vm.liveness == Liveness::Alive)
}
