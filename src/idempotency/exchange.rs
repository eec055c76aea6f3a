//! Reads records and outcomes from other VMs, and copies records to new replicas.

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
    /// Requests records from the other VMs until this VM has a vote.
    pub(super) fn request_records(&mut self, now: Monotonic, out: &mut Vec<IdempotencyAction>) {
        let others = self.other_vms();
        for (to, after) in self.initial_sync.take_due(now, &self.settings, &others) {
            let boot = self.boot;
            let message = IdempotencyMessage::SyncRequest { boot, after };
            out.push(IdempotencyAction::Send { to, message });
        }
    }

    /// Replies with a page of the records that `from` is a replica of.
    pub(super) fn on_sync_request(
        &mut self,
        now: Monotonic,
        from: VmKey,
        boot: u64,
        after: Option<RecordId>,
        out: &mut Vec<IdempotencyAction>,
    ) {
        let Some(region) = self.local_region() else {
            return;
        };
        let page_max_records = self.settings.page_max_records;
        let mut records: Vec<RecordCopy> = self
            .records
            .after(after.as_ref())
            .filter(|(id, _)| self.transition.replicas(region, id).contains(&from))
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

    /// Requests the next page, and updates whether this VM has a vote.
    pub(super) fn on_sync_page(
        &mut self,
        now: Monotonic,
        from: VmKey,
        after: Option<RecordId>,
        next: Option<RecordId>,
        out: &mut Vec<IdempotencyAction>,
    ) {
        let is_more = self.initial_sync.on_page(now, from, &after, next.clone());
        if is_more {
            let message = IdempotencyMessage::SyncRequest {
                boot: self.boot,
                after: next,
            };
            out.push(IdempotencyAction::Send { to: from, message });
        }
        let others = self.other_vms();
        self.initial_sync.update(now, &self.settings, &others);
    }

    /// Copies a page of records to the VMs that become their replicas by a change of the published
    /// state.
    ///
    /// As messages may be lost, all records are copied again and again until the transition ends.
    pub(super) fn copy_records(&mut self, now: Monotonic, out: &mut Vec<IdempotencyAction>) {
        if !self.transition.is_active() {
            return;
        }
        let page: Vec<(RecordId, RecordCopy)> = self
            .records
            .after(self.copy_cursor.as_ref())
            .take(self.settings.page_max_records)
            .map(|(id, record)| (id.clone(), record.copy(now, id)))
            .collect();
        self.copy_cursor = page.last().map(|(id, _)| id.clone());
        for (id, copy) in page {
            for to in self.transition.new_replicas(copy.route, &id) {
                if to != self.local_vm {
                    let message = IdempotencyMessage::Update(Box::new(copy.clone()));
                    out.push(IdempotencyAction::Send { to, message });
                }
            }
        }
    }

    /// Queries the coordinators of records that have no outcome.
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
        let unfinished = self
            .records
            .after(None)
            .filter(|(_, record)| record.state == RecordState::Prepared)
            .filter(|(_, record)| record.attempt.coordinator != self.local_vm)
            .filter(|(_, record)| now.since(record.created_at) > self.settings.ack_timeout)
            .filter(|(_, record)| is_reachable(view, record.attempt.coordinator))
            .take(self.settings.page_max_records);
        for (id, record) in unfinished {
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
