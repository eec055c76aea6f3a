//! The queue of one VM, fair between client accounts.

use std::collections::HashMap;
use std::time::Duration;

use slab::Slab;

use super::class_queue::ClassQueue;
use super::class_queue::FlowKey;
use super::class_queue::Startable;
use super::QueueItem;
use super::QueueLimits;
use super::Refused;
use super::RefusedReason;
use super::Ticket;
use crate::catalog::ClientAccountKey;
use crate::catalog::KeyDigest;
use crate::catalog::RouteKey;
use crate::catalog::WorkClass;
use crate::clock::Monotonic;

const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(600);
/// The percentage of the time until the latest start that the expected wait may take; the rest
/// covers requests that others add meanwhile.
const WAIT_MAX_PERCENT: u32 = 75;
const CLASSES: [WorkClass; 2] = [WorkClass::Interactive, WorkClass::Long];

#[derive(Clone, Debug)]
struct Entry<T> {
    sequence: u64,
    item: QueueItem<T>,
}

/// The queue of one VM, fair between client accounts by tokens.
///
/// Interactive requests go before long ones, except for a bounded share that is reserved for long
/// requests while both wait.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    limits: QueueLimits,
    entries: Slab<Entry<T>>,
    interactive: ClassQueue,
    long: ClassQueue,
    long_credit_tokens: u64,
    last_sequence: u64,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            entries: Slab::new(),
            interactive: ClassQueue::default(),
            long: ClassQueue::default(),
            long_credit_tokens: 0,
            last_sequence: 0,
        }
    }

    /// Adds a request, if it can start in time.
    ///
    /// # Errors
    ///
    /// Returns [`Refused`] if a queue is full or the expected wait is too long, with the time after
    /// which the request is expected to be accepted.
    pub fn offer(&mut self, now: Monotonic, item: QueueItem<T>) -> Result<Ticket, Refused> {
        let key = item.client_account;
        let wait = self
            .class(item.class)
            .expected_wait(now, key, item.weight, item.cost_tokens);
        if let Some(reason) = self.refusal(now, &item, wait) {
            return Err(self.refuse(now, &item, wait, reason));
        }
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let (class, weight, cost) = (item.class, item.weight, item.cost_tokens);
        let slot = self.entries.insert(Entry { sequence, item });
        self.class_mut(class).push(now, key, weight, slot, cost);
        Ok(Ticket { slot, sequence })
    }

    /// Takes the next request for which `can_start` holds.
    pub fn next(
        &mut self,
        now: Monotonic,
        mut can_start: impl FnMut(&QueueItem<T>) -> bool,
    ) -> Option<QueueItem<T>> {
        let interactive = self.startable(now, WorkClass::Interactive, &mut can_start);
        let long = self.startable(now, WorkClass::Long, &mut can_start);
        let class = self.next_class(&interactive, &long)?;
        let startable = match class {
            WorkClass::Interactive => &interactive,
            WorkClass::Long => &long,
        };
        let quantum_tokens = self.limits.quantum_tokens;
        let chosen = self.class_mut(class).select(startable, quantum_tokens)?;
        self.update_long_credit(class, chosen.cost_tokens, !long.is_empty());
        self.class_mut(class)
            .on_started(now, chosen.flow, chosen.cost_tokens);
        Some(self.take(chosen.slot))
    }

    /// Removes a request that its caller abandoned.
    ///
    /// Returns `None` if the request has left the queue.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueueItem<T>> {
        let entry = self.entries.get(ticket.slot)?;
        if entry.sequence != ticket.sequence {
            return None;
        }
        Some(self.take(ticket.slot))
    }

    /// Removes all requests of a key, when the key is revoked.
    pub fn remove_key(&mut self, key: &KeyDigest) -> Vec<QueueItem<T>> {
        self.remove_where(|item| item.key_digest.as_ref() == Some(key))
    }

    /// Removes all requests whose latest start has passed, and the state of idle accounts.
    pub fn expire(&mut self, now: Monotonic) -> Vec<QueueItem<T>> {
        self.interactive.prune(now);
        self.long.prune(now);
        self.remove_where(|item| item.start_by < now)
    }

    /// Removes all requests for which `is_removed` holds.
    pub fn remove_where(
        &mut self,
        is_removed: impl Fn(&QueueItem<T>) -> bool,
    ) -> Vec<QueueItem<T>> {
        let slots: Vec<usize> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_removed(&entry.item))
            .map(|(slot, _)| slot)
            .collect();
        slots.into_iter().map(|slot| self.take(slot)).collect()
    }

    /// Returns the expected wait of a request that arrives now and costs one quantum.
    pub fn expected_wait(
        &self,
        now: Monotonic,
        client_account: Option<ClientAccountKey>,
        weight: u32,
        class: WorkClass,
    ) -> Duration {
        let cost_tokens = self.limits.quantum_tokens;
        self.class(class)
            .expected_wait(now, client_account, weight, cost_tokens)
    }

    /// Returns the expected time until all waiting requests of a class have started.
    pub fn backlog_wait(&self, now: Monotonic, class: WorkClass) -> Duration {
        self.class(class).backlog_wait(now)
    }

    /// Returns the number of waiting requests of a class.
    pub fn len(&self, class: WorkClass) -> usize {
        self.class(class).len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        CLASSES.iter().all(|class| self.len(*class) == 0)
    }

    fn refusal(
        &self,
        now: Monotonic,
        item: &QueueItem<T>,
        wait: Duration,
    ) -> Option<RefusedReason> {
        let queue = self.class(item.class);
        let account_len = queue
            .flows
            .get(&item.client_account)
            .map_or(0, |flow| flow.slots.len());
        if wait > item.start_by.since(now) * WAIT_MAX_PERCENT / 100 {
            return Some(RefusedReason::TooLate);
        }
        if account_len >= self.limits.account_max_requests {
            return Some(RefusedReason::AccountFull);
        }
        (queue.len >= self.limits.class_max_requests).then_some(RefusedReason::ClassFull)
    }

    fn refuse(
        &mut self,
        now: Monotonic,
        item: &QueueItem<T>,
        wait: Duration,
        reason: RefusedReason,
    ) -> Refused {
        let allowed = item.start_by.since(now);
        let excess = match reason {
            RefusedReason::TooLate => wait.saturating_sub(allowed / 2),
            RefusedReason::AccountFull | RefusedReason::ClassFull => wait / 2,
        };
        let (key, weight, cost) = (item.client_account, item.weight, item.cost_tokens);
        let retry_after = self
            .class_mut(item.class)
            .retry_after(now, key, weight, cost, excess);
        Refused {
            reason,
            retry_after: retry_after.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
        }
    }

    fn startable(
        &self,
        now: Monotonic,
        class: WorkClass,
        can_start: &mut impl FnMut(&QueueItem<T>) -> bool,
    ) -> HashMap<FlowKey, Startable> {
        let queue = self.class(class);
        let mut startable = HashMap::new();
        for key in queue.rotation() {
            let Some(flow) = queue.flows.get(key) else {
                continue;
            };
            let mut blocked: Vec<RouteKey> = Vec::new();
            for slot in &flow.slots {
                let item = &self.entries[*slot].item;
                if item.start_by < now || blocked.contains(&item.route) {
                    continue;
                }
                if can_start(item) {
                    let candidate = Startable {
                        flow: *key,
                        slot: *slot,
                        cost_tokens: item.cost_tokens,
                    };
                    startable.insert(*key, candidate);
                    break;
                }
                blocked.push(item.route);
            }
        }
        startable
    }

    fn next_class(
        &self,
        interactive: &HashMap<FlowKey, Startable>,
        long: &HashMap<FlowKey, Startable>,
    ) -> Option<WorkClass> {
        let long_cost = long.values().map(|item| item.cost_tokens).min();
        match (interactive.is_empty(), long_cost) {
            (true, None) => None,
            (true, Some(_)) => Some(WorkClass::Long),
            (false, Some(cost)) if self.long_credit_tokens >= cost => Some(WorkClass::Long),
            (false, _) => Some(WorkClass::Interactive),
        }
    }

    fn update_long_credit(&mut self, class: WorkClass, cost_tokens: u64, is_long_waiting: bool) {
        match class {
            WorkClass::Interactive if is_long_waiting => {
                self.long_credit_tokens += cost_tokens / self.limits.interactive_per_long.max(1);
            }
            WorkClass::Interactive => self.long_credit_tokens = 0,
            WorkClass::Long => {
                self.long_credit_tokens = self.long_credit_tokens.saturating_sub(cost_tokens);
            }
        }
    }

    fn take(&mut self, slot: usize) -> QueueItem<T> {
        let item = self.entries.remove(slot).item;
        self.class_mut(item.class)
            .remove(item.client_account, slot, item.cost_tokens);
        item
    }

    fn class(&self, class: WorkClass) -> &ClassQueue {
        match class {
            WorkClass::Interactive => &self.interactive,
            WorkClass::Long => &self.long,
        }
    }

    fn class_mut(&mut self, class: WorkClass) -> &mut ClassQueue {
        match class {
            WorkClass::Interactive => &mut self.interactive,
            WorkClass::Long => &mut self.long,
        }
    }
}
