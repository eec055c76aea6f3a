//! Handles messages of other VMs.

use super::answers;
use super::record::Record;
use super::record::RecordState;
use super::AttemptId;
use super::IdempotencyAction;
use super::IdempotencyController;
use super::IdempotencyMessage;
use super::RecordCopy;
use super::RecordId;
use crate::catalog::VmKey;
use crate::clock::Monotonic;
use crate::membership::MembershipView;

impl IdempotencyController {
    /// Handles a message of another VM.
    pub fn on_message(
        &mut self,
        now: Monotonic,
        view: &MembershipView,
        from: VmKey,
        message: IdempotencyMessage,
        out: &mut Vec<IdempotencyAction>,
    ) {
        match message {
            IdempotencyMessage::Prepare(copy) => self.on_prepare(now, from, *copy, out),
            IdempotencyMessage::Prepared { attempt, .. } => {
                self.on_vote(now, view, from, attempt, true, out)
            }
            IdempotencyMessage::Unsettled { attempt, .. } => {
                self.on_vote(now, view, from, attempt, false, out)
            }
            IdempotencyMessage::Known { asked, copy } => {
                self.on_known(now, view, from, asked, *copy, out)
            }
            IdempotencyMessage::Update(copy) => self.on_update(now, view, *copy, out),
            IdempotencyMessage::Query { id, attempt } => self.on_query(now, from, id, attempt, out),
            IdempotencyMessage::Release { id, attempt } => self.on_release(from, &id, attempt),
            IdempotencyMessage::SyncRequest { boot, after } => {
                self.on_sync_request(now, from, boot, after, out)
            }
            IdempotencyMessage::SyncPage {
                boot,
                after,
                records,
                next,
            } => {
                if boot == self.boot {
                    for copy in records {
                        self.on_update(now, view, copy, out);
                    }
                    self.on_sync_page(now, from, after, next, out);
                }
            }
        }
    }

    fn on_prepare(
        &mut self,
        now: Monotonic,
        from: VmKey,
        copy: RecordCopy,
        out: &mut Vec<IdempotencyAction>,
    ) {
        self.abort_if_preceded_by(&copy, out);
        let known = self.records.get(&copy.id).cloned();
        let message = match known {
            Some(record) if record.attempt != copy.attempt => IdempotencyMessage::Known {
                asked: copy.attempt,
                copy: Box::new(record.copy(now, &copy.id)),
            },
            Some(_) => self.vote(&copy),
            None => {
                let record = Record::from_copy(now, &copy);
                if self.records.put(&self.settings, &copy.id, record) {
                    self.vote(&copy)
                } else {
                    unsettled(&copy)
                }
            }
        };
        out.push(IdempotencyAction::Send { to: from, message });
    }

    /// Aborts a pending submission of this VM for the same key if the attempt of `copy` precedes it.
    fn abort_if_preceded_by(&mut self, copy: &RecordCopy, out: &mut Vec<IdempotencyAction>) {
        let local = self
            .pending
            .values()
            .find(|pending| pending.id == copy.id)
            .map(|pending| pending.attempt);
        if let Some(local) = local {
            if copy.attempt.precedes(&local) {
                self.abort(local.sequence, answers::in_progress(), out);
            }
        }
    }

    fn vote(&self, copy: &RecordCopy) -> IdempotencyMessage {
        if !self.initial_sync.is_synced() {
            return unsettled(copy);
        }
        IdempotencyMessage::Prepared {
            id: copy.id.clone(),
            attempt: copy.attempt,
        }
    }

    fn on_vote(
        &mut self,
        now: Monotonic,
        view: &MembershipView,
        from: VmKey,
        attempt: AttemptId,
        is_acknowledged: bool,
        out: &mut Vec<IdempotencyAction>,
    ) {
        if !self.is_local_attempt(&attempt) {
            return;
        }
        if let Some(pending) = self.pending.get_mut(&attempt.sequence) {
            pending.record_reply(from, is_acknowledged);
        }
        self.advance(now, view, attempt.sequence, out);
    }

    fn on_known(
        &mut self,
        now: Monotonic,
        view: &MembershipView,
        from: VmKey,
        asked: AttemptId,
        copy: RecordCopy,
        out: &mut Vec<IdempotencyAction>,
    ) {
        if !self.is_local_attempt(&asked) {
            return;
        }
        let Some(fingerprint) = self
            .pending
            .get(&asked.sequence)
            .map(|pending| pending.fingerprint)
        else {
            return;
        };
        if self.is_local_attempt(&copy.attempt) && !self.holds(&copy.id, copy.attempt) {
            self.replace_released(now, from, &copy, out);
            return;
        }
        let record = Record::from_copy(now, &copy);
        let answer = answers::answer_duplicate(view, &record, fingerprint);
        self.abort(asked.sequence, answer, out);
        if self.records.get(&copy.id).is_none() {
            self.records.put(&self.settings, &copy.id, record);
        }
    }

    /// Has a replica replace the record of an aborted submission of this VM by the current one.
    fn replace_released(
        &self,
        now: Monotonic,
        from: VmKey,
        released: &RecordCopy,
        out: &mut Vec<IdempotencyAction>,
    ) {
        let Some(record) = self.records.get(&released.id) else {
            return;
        };
        out.push(IdempotencyAction::Send {
            to: from,
            message: IdempotencyMessage::Release {
                id: released.id.clone(),
                attempt: released.attempt,
            },
        });
        out.push(IdempotencyAction::Send {
            to: from,
            message: IdempotencyMessage::Prepare(Box::new(record.copy(now, &released.id))),
        });
    }

    fn on_update(
        &mut self,
        now: Monotonic,
        view: &MembershipView,
        copy: RecordCopy,
        out: &mut Vec<IdempotencyAction>,
    ) {
        let local = self
            .pending
            .values()
            .find(|pending| pending.id == copy.id && pending.attempt != copy.attempt)
            .map(|pending| (pending.attempt, pending.fingerprint));
        let record = Record::from_copy(now, &copy);
        if let Some((attempt, fingerprint)) = local {
            let answer = answers::answer_duplicate(view, &record, fingerprint);
            self.abort(attempt.sequence, answer, out);
        }
        let is_newer = match self.records.get(&copy.id) {
            None => true,
            Some(known) => {
                known.state == RecordState::Prepared
                    && matches!(record.state, RecordState::Finished(_))
            }
        };
        if is_newer {
            self.records.put(&self.settings, &copy.id, record);
        }
    }

    fn on_query(
        &mut self,
        now: Monotonic,
        from: VmKey,
        id: RecordId,
        attempt: AttemptId,
        out: &mut Vec<IdempotencyAction>,
    ) {
        let held = self
            .records
            .get(&id)
            .filter(|record| record.attempt == attempt);
        let message = match held {
            Some(record) if matches!(record.state, RecordState::Finished(_)) => {
                IdempotencyMessage::Update(Box::new(record.copy(now, &id)))
            }
            Some(_) => return,
            None if self.is_local_attempt(&attempt) => IdempotencyMessage::Release { id, attempt },
            None => return,
        };
        out.push(IdempotencyAction::Send { to: from, message });
    }

    fn on_release(&mut self, from: VmKey, id: &RecordId, attempt: AttemptId) {
        let is_releasable = from == attempt.coordinator
            && self.records.get(id).is_some_and(|record| {
                record.attempt == attempt && record.state == RecordState::Prepared
            });
        if is_releasable {
            self.records.remove(id);
        }
    }

    /// Returns whether this process made the attempt; an earlier process of this VM does not count.
    fn is_local_attempt(&self, attempt: &AttemptId) -> bool {
        attempt.coordinator == self.local_vm && attempt.boot == self.boot
    }

    fn holds(&self, id: &RecordId, attempt: AttemptId) -> bool {
        self.records
            .get(id)
            .is_some_and(|record| record.attempt == attempt)
    }
}

fn unsettled(copy: &RecordCopy) -> IdempotencyMessage {
    IdempotencyMessage::Unsettled {
        id: copy.id.clone(),
        attempt: copy.attempt,
    }
}
