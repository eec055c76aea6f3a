//! The records that a VM stores.

use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::ops::Bound;

use super::record::Record;
use super::record::RecordState;
use super::CallOutcome;
use super::IdempotencySettings;
use super::RecordId;
use crate::clock::Monotonic;

/// The records that a VM stores, bounded in number and in bytes of answers.
///
/// A record is never evicted before it expires. Its answer may be, oldest first: the record then
/// only says that the call ran.
#[derive(Clone, Debug, Default)]
pub(super) struct RecordTable {
    records: BTreeMap<RecordId, Record>,
    answers: VecDeque<RecordId>,
    answer_bytes: usize,
}

impl RecordTable {
    pub(super) fn get(&self, id: &RecordId) -> Option<&Record> {
        self.records.get(id)
    }

    pub(super) fn is_full(&self, settings: &IdempotencySettings) -> bool {
        self.records.len() >= settings.records_max
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Adds or replaces a record; returns `false` if it is new and the table is full.
    pub(super) fn put(
        &mut self,
        settings: &IdempotencySettings,
        id: &RecordId,
        record: Record,
    ) -> bool {
        let is_new = !self.records.contains_key(id);
        if is_new && self.is_full(settings) {
            return false;
        }
        self.remove(id);
        let mut record = record;
        if let RecordState::Finished(outcome) = record.state {
            let outcome = outcome.bounded(settings.answer_max_bytes);
            self.answer_bytes += outcome.stored_bytes();
            if outcome.stored_bytes() > 0 {
                self.answers.push_back(id.clone());
            }
            record.state = RecordState::Finished(outcome);
        }
        self.records.insert(id.clone(), record);
        self.evict_answers(settings);
        true
    }

    /// Marks the record of a submission that proceeds.
    pub(super) fn set_running(&mut self, id: &RecordId) {
        if let Some(record) = self.records.get_mut(id) {
            record.state = RecordState::Running;
        }
    }

    pub(super) fn remove(&mut self, id: &RecordId) -> Option<Record> {
        let record = self.records.remove(id)?;
        self.answer_bytes -= stored_bytes(&record);
        Some(record)
    }

    /// Removes the expired records of calls that are not running.
    pub(super) fn expire(&mut self, now: Monotonic, settings: &IdempotencySettings) {
        let expired: Vec<RecordId> = self
            .records
            .iter()
            .filter(|(_, record)| now.since(record.created_at) > settings.record_ttl)
            .filter(|(_, record)| record.state != RecordState::Running)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.remove(&id);
        }
    }

    /// Returns the records that follow `after`, in the order of their identifiers.
    pub(super) fn after<'a>(
        &'a self,
        after: Option<&RecordId>,
    ) -> impl Iterator<Item = (&'a RecordId, &'a Record)> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.records.range((start, Bound::Unbounded))
    }

    fn evict_answers(&mut self, settings: &IdempotencySettings) {
        while self.answer_bytes > settings.answers_max_bytes {
            let Some(oldest) = self.answers.pop_front() else {
                return;
            };
            if let Entry::Occupied(mut entry) = self.records.entry(oldest) {
                let record = entry.get_mut();
                self.answer_bytes -= stored_bytes(record);
                if matches!(
                    record.state,
                    RecordState::Finished(CallOutcome::Completed(_))
                ) {
                    record.state = RecordState::Finished(CallOutcome::RanUnkept);
                }
            }
        }
    }
}

fn stored_bytes(record: &Record) -> usize {
    match &record.state {
        RecordState::Finished(outcome) => outcome.stored_bytes(),
        RecordState::Prepared | RecordState::Running => 0,
    }
}
