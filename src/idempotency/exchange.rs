//! How the controller reads records of other VMs, and hands its own ones over.

use super::record::RecordState;
use super::IdempotencyAction;
use super::IdempotencyController;
use super::IdempotencyMessage;
use super::RecordCopy;
use super::RecordId;
use crate::catalog::VmKey;
use crate::clock::Monotonic;
use crate::membership::Liveness;
use crate::membership::MembershipView;

impl IdempotencyController {
    /// Asks other VMs for records until this VM has a vote.
    pub(super) fn ask_for_records(&mut self, now: Monotonic, out: &mut Vec<IdempotencyAction>) {
        let others = self.others();
        for (to, after) in self.settling.take_due(now, &self.settings, &others) {
            let boot = self.boot;
            let message = IdempotencyMessage::SyncRequest { boot, after };
            out.push(IdempotencyAction::Send { to, message });
        }
    }

    /// Answers with the records that the asking VM is a replica of.
    pub(super) fn on_sync_request(
        &mut self,
        now: Monotonic,
        from: VmKey,
        boot: u64,
        after: Option<RecordId>,
        out: &mut Vec<IdempotencyAction>,
    ) {
        let Some(region) = self.own_region() else {
            return;
        };
        let page_max_records = self.settings.page_max_records;
        let mut records: Vec<RecordCopy> = self
            .records
            .after(after.as_ref())
            .filter(|(id, _)| self.hand_over.replicas(region, id).contains(&from))
            .take(page_max_records + 1)
            .map(|(id, record)| record.copy(now, id))
            .collect();
        let has_more = records.len() > page_max_records;
        records.truncate(page_max_records);
        let next = records
            .last()
            .filter(|_| has_more)
            .map(|copy| copy.id.clone());
        let message = IdempotencyMessage::SyncPage {
            boot,
            after,
            records,
            next,
        };
        out.push(IdempotencyAction::Send { to: from, message });
    }

    /// Goes on with the next page.
    pub(super) fn on_sync_page(
        &mut self,
        now: Monotonic,
        from: VmKey,
        after: Option<RecordId>,
        next: Option<RecordId>,
        out: &mut Vec<IdempotencyAction>,
    ) {
        let is_more = self.settling.on_page(now, from, &after, next.clone());
        if is_more {
            let message = IdempotencyMessage::SyncRequest {
                boot: self.boot,
                after: next,
            };
            out.push(IdempotencyAction::Send { to: from, message });
        }
        let others = self.others();
        self.settling.update(now, &self.settings, &others);
    }

    /// Copies records to the VMs that keep them after a change of the published state.
    ///
    /// As messages may be lost, the records are gone through again until the hand-over is over.
    pub(super) fn copy_records(&mut self, now: Monotonic, out: &mut Vec<IdempotencyAction>) {
        if !self.hand_over.is_active() {
            return;
        }
        let page: Vec<(RecordId, RecordCopy)> = self
            .records
            .after(self.copied_to.as_ref())
            .take(self.settings.page_max_records)
            .map(|(id, record)| (id.clone(), record.copy(now, id)))
            .collect();
        self.copied_to = page.last().map(|(id, _)| id.clone());
        for (id, copy) in page {
            for to in self.hand_over.new_replicas(copy.route, &id) {
                if to != self.own {
                    let message = IdempotencyMessage::Update(Box::new(copy.clone()));
                    out.push(IdempotencyAction::Send { to, message });
                }
            }
        }
    }

    /// Asks the coordinators of records without an outcome what became of them.
    pub(super) fn query_coordinators(
        &mut self,
        now: Monotonic,
        view: &MembershipView,
        out: &mut Vec<IdempotencyAction>,
    ) {
        if now.since(self.queried_at) < self.settings.query_interval {
            return;
        }
        self.queried_at = now;
        let unanswered = self
            .records
            .after(None)
            .filter(|(_, record)| record.state == RecordState::Prepared)
            .filter(|(_, record)| record.attempt.coordinator != self.own)
            .filter(|(_, record)| now.since(record.created_at) > self.settings.ack_timeout)
            .filter(|(_, record)| is_reachable(view, record.attempt.coordinator))
            .take(self.settings.page_max_records);
        for (id, record) in unanswered {
            out.push(IdempotencyAction::Send {
                to: record.attempt.coordinator,
                message: IdempotencyMessage::Query {
                    id: id.clone(),
                    attempt: record.attempt,
                },
            });
        }
    }
}

fn is_reachable(view: &MembershipView, vm: VmKey) -> bool {
    view.vms
        .get(vm)
        .is_some_and(|vm| vm.liveness == Liveness::Alive)
}
