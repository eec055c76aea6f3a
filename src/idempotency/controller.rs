//! Coordinates submissions and keeps records for other coordinators.

use std::collections::HashMap;
use std::sync::Arc;

use super::hand_over::HandOver;
use super::pending::Pending;
use super::record::Record;
use super::record::RecordState;
use super::record_table::RecordTable;
use super::replies;
use super::settling::Settling;
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

/// Coordinates submissions and keeps records for other coordinators.
///
/// A VM of the home region calls [`begin`](Self::begin) for each submission of a non-idempotent
/// call, sends the call to an endpoint only on [`IdempotencyAction::Proceed`], and then tells the
/// outcome by [`finish`](Self::finish).
#[derive(Clone, Debug)]
pub struct IdempotencyController {
    pub(super) own: VmKey,
    pub(super) boot: u64,
    pub(super) settings: IdempotencySettings,
    pub(super) hand_over: HandOver,
    pub(super) records: RecordTable,
    pub(super) pending: HashMap<u64, Pending>,
    pub(super) running: HashMap<RequestId, RecordId>,
    pub(super) settling: Settling,
    pub(super) copied_to: Option<RecordId>,
    pub(super) queried_at: Monotonic,
    last_sequence: u64,
}

impl IdempotencyController {
    /// Creates the controller of a process that has just started.
    ///
    /// `boot` is drawn at random by each process.
    pub fn new(
        now: Monotonic,
        own: VmKey,
        boot: u64,
        settings: IdempotencySettings,
        catalog: Arc<Catalog>,
    ) -> Self {
        Self {
            own,
            boot,
            settings,
            hand_over: HandOver::new(catalog),
            records: RecordTable::default(),
            pending: HashMap::new(),
            running: HashMap::new(),
            settling: Settling::new(now),
            copied_to: None,
            queried_at: now,
            last_sequence: 0,
        }
    }

    /// Takes over a new published state.
    pub fn on_catalog(&mut self, now: Monotonic, catalog: Arc<Catalog>) {
        if self.hand_over.replace(now, &self.settings, catalog) {
            self.copied_to = None;
        }
    }

    /// Begins a submission: the owner gets `Proceed` or `Answer` for it, now or later.
    pub fn begin(
        &mut self,
        now: Monotonic,
        view: &MembershipView,
        call: &Call,
        out: &mut Vec<IdempotencyAction>,
    ) {
        let answer = match RecordId::of_call(call) {
            Some(id) => self.begin_named(now, view, call, id, out),
            None => Some(replies::failed(
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

    /// Tells the outcome of a submission that proceeded.
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

    /// Gives up late submissions, asks for what is missing and expires records.
    pub fn tick(
        &mut self,
        now: Monotonic,
        view: &MembershipView,
        out: &mut Vec<IdempotencyAction>,
    ) {
        self.hand_over.expire(now);
        self.records.expire(now, &self.settings);
        self.advance_all(now, view, out);
        self.ask_for_records(now, out);
        self.copy_records(now, out);
        self.query_coordinators(now, view, out);
    }

    /// Returns when [`tick`](Self::tick) is due next for a submission that waits.
    pub fn next_deadline(&self, now: Monotonic) -> Option<Monotonic> {
        self.pending
            .values()
            .map(|pending| {
                if now < pending.majority_at {
                    pending.majority_at
                } else {
                    pending.give_up_at
                }
            })
            .min()
    }

    /// Tells whether this VM has a vote.
    pub fn is_synced(&self) -> bool {
        self.settling.is_synced()
    }

    /// Returns the number of records that this VM keeps.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    fn begin_named(
        &mut self,
        now: Monotonic,
        view: &MembershipView,
        call: &Call,
        id: RecordId,
        out: &mut Vec<IdempotencyAction>,
    ) -> Option<IdempotencyAnswer> {
        let fingerprint = Fingerprint::of_call(self.hand_over.catalog(), call);
        if let Some(record) = self.records.get(&id) {
            return Some(replies::answer_repeat(view, record, fingerprint));
        }
        let region = self.hand_over.home_region(call.route, &id);
        let Some(region) = region.filter(|region| Some(*region) == self.own_region()) else {
            let message = "the call's home region is another one, or is changing";
            return Some(replies::unacknowledged(message));
        };
        let record = self.prepare(now, call, fingerprint);
        let pending = self.pending(now, call, region, &id, &record);
        let copy = record.copy(now, &id);
        if !self.records.put(&self.settings, &id, record) {
            let message = "this VM can keep no further records";
            return Some(replies::failed(ErrorKind::Overloaded, message));
        }
        for to in pending.replicas() {
            if to != self.own {
                let message = IdempotencyMessage::Prepare(Box::new(copy.clone()));
                out.push(IdempotencyAction::Send { to, message });
            }
        }
        self.pending.insert(pending.attempt.sequence, pending);
        None
    }

    fn prepare(&mut self, now: Monotonic, call: &Call, fingerprint: Fingerprint) -> Record {
        self.last_sequence += 1;
        Record {
            route: call.route,
            fingerprint,
            attempt: AttemptId {
                coordinator: self.own,
                boot: self.boot,
                sequence: self.last_sequence,
            },
            state: RecordState::Prepared,
            created_at: now,
        }
    }

    fn pending(
        &self,
        now: Monotonic,
        call: &Call,
        region: RegionKey,
        id: &RecordId,
        record: &Record,
    ) -> Pending {
        let mut pending = Pending {
            request: call.id,
            id: id.clone(),
            fingerprint: record.fingerprint,
            attempt: record.attempt,
            replica_sets: self.hand_over.replica_sets(region, id),
            acknowledged: Vec::new(),
            answered: Vec::new(),
            majority_at: now + self.settings.ack_timeout / 2,
            give_up_at: now + self.settings.ack_timeout,
        };
        pending.note(self.own, self.settling.is_synced());
        pending
    }

    /// Lets a submission proceed if it may, or gives it up if it is late.
    ///
    /// A VM that wakes from a pause finds the submission late, and lets nothing proceed.
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
        if now >= pending.give_up_at {
            let answer = replies::unacknowledged("no second VM acknowledged the record in time");
            self.give_up(sequence, answer, out);
            return;
        }
        let is_answered =
            now >= pending.majority_at || pending.is_answered_by(|vm| is_alive(view, vm));
        if pending.is_acknowledged() && is_answered {
            self.proceed(sequence, out);
        }
    }

    /// Gives a submission up that has not proceeded.
    pub(super) fn give_up(
        &mut self,
        sequence: u64,
        answer: IdempotencyAnswer,
        out: &mut Vec<IdempotencyAction>,
    ) {
        let Some(pending) = self.pending.remove(&sequence) else {
            return;
        };
        let is_own = self
            .records
            .get(&pending.id)
            .is_some_and(|record| record.attempt == pending.attempt);
        if is_own {
            self.records.remove(&pending.id);
        }
        for to in pending.replicas() {
            if to != self.own {
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

    /// Returns the other active VMs of the own region.
    pub(super) fn others(&self) -> Vec<VmKey> {
        let catalog = self.hand_over.catalog();
        let Some(region) = self.own_region() else {
            return Vec::new();
        };
        catalog
            .published_vms_in(region)
            .filter(|vm| *vm != self.own)
            .filter(|vm| catalog.vms[*vm].state == ServiceState::Active)
            .collect()
    }

    /// Returns the region of this VM, if the roster has it.
    pub(super) fn own_region(&self) -> Option<RegionKey> {
        let vm = self.hand_over.catalog().vms.get(self.own)?;
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
        let Some(region) = self.own_region() else {
            return;
        };
        for to in self.hand_over.replicas(region, id) {
            if to != self.own {
                out.push(IdempotencyAction::Send {
                    to,
                    message: message.clone(),
                });
            }
        }
    }
}

fn is_alive(view: &MembershipView, vm: VmKey) -> bool {
    vm == view.own
        || view
            .vms
            .get(vm)
            .is_some_and(|vm| vm.liveness == Liveness::Alive)
}
