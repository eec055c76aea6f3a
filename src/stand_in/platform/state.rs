//! The state of the platform stand-in.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde_json::value::RawValue;
use tokio::sync::watch;

use super::call_counter::CallCounter;
use super::AnswerForm;
use super::CallCounts;
use super::DirectoryEntryWire;
use super::PlatformFaults;
use super::TicketCopies;
use super::TicketOrder;
use crate::configuration::RawTicket;
use crate::publication::TicketWire;
use crate::publication::TicketsWire;
use crate::publication::VmWire;
use crate::publication::VmsWire;

const VM_LISTS_MAX: usize = 64;

/// The largest total size of the tickets in one response, in bytes; a larger ticket is sent alone.
const PAGE_MAX_BYTES: usize = 4 * 1024 * 1024;

/// The published tickets and lists and the faults of the platform stand-in, shared by its handlers.
#[derive(Debug)]
pub(super) struct PlatformState {
    inner: Mutex<Inner>,
    changes: watch::Sender<u64>,
}

#[derive(Debug)]
struct Inner {
    tickets: Vec<RawTicket>,
    vm_lists: VecDeque<(Instant, Vec<VmWire>)>,
    directory: Vec<DirectoryEntryWire>,
    faults: PlatformFaults,
    counter: CallCounter,
}

impl PlatformState {
    pub(super) fn new(now: Instant) -> Self {
        let inner = Inner {
            tickets: Vec::new(),
            vm_lists: VecDeque::new(),
            directory: Vec::new(),
            faults: PlatformFaults::default(),
            counter: CallCounter::new(now),
        };
        Self {
            inner: Mutex::new(inner),
            changes: watch::Sender::new(0),
        }
    }

    pub(super) fn publish(&self, ticket: RawTicket) {
        self.lock().tickets.push(ticket);
        self.notify_watchers();
    }

    pub(super) fn set_vms(&self, now: Instant, vms: Vec<VmWire>) {
        let mut inner = self.lock();
        if inner.vm_lists.len() == VM_LISTS_MAX {
            inner.vm_lists.pop_front();
        }
        inner.vm_lists.push_back((now, vms));
    }

    pub(super) fn set_directory(&self, directory: Vec<DirectoryEntryWire>) {
        self.lock().directory = directory;
    }

    pub(super) fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
        self.notify_watchers();
    }

    pub(super) fn faults(&self) -> PlatformFaults {
        self.lock().faults.clone()
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    pub(super) fn count_call(&self, now: Instant) {
        self.lock().counter.count(now);
    }

    pub(super) fn wait_started(&self) {
        self.lock().counter.wait_started();
    }

    pub(super) fn wait_ended(&self) {
        self.lock().counter.wait_ended();
    }

    pub(super) fn counts(&self, now: Instant) -> CallCounts {
        self.lock().counter.counts(now)
    }

    /// Returns one page of the tickets above `after`, with the faults applied.
    pub(super) fn tickets(&self, after: u64) -> Vec<RawTicket> {
        let inner = self.lock();
        let faults = &inner.faults;
        let mut tickets: Vec<RawTicket> = inner
            .tickets
            .iter()
            .filter(|ticket| ticket.number.0 > after)
            .filter(|ticket| {
                faults
                    .pinned_ticket
                    .is_none_or(|pinned| ticket.number.0 <= pinned)
            })
            .filter(|ticket| !faults.withheld_tickets.contains(&ticket.number.0))
            .cloned()
            .collect();
        tickets.sort_by_key(|ticket| ticket.number);
        truncate_to_page(&mut tickets);
        if faults.ticket_order == TicketOrder::Descending {
            tickets.reverse();
        }
        if faults.ticket_copies == TicketCopies::Twice {
            tickets = tickets.iter().chain(&tickets).cloned().collect();
        }
        tickets
    }

    /// Returns the latest list that is at least as old as the lag, or the first one.
    pub(super) fn vms(&self, now: Instant) -> VmsWire {
        let inner = self.lock();
        let lag = Duration::from_millis(inner.faults.vm_list_lag_ms);
        let listed = inner
            .vm_lists
            .iter()
            .rev()
            .find(|(set_at, _)| now.duration_since(*set_at) >= lag)
            .or(inner.vm_lists.front());
        VmsWire {
            vms: listed.map(|(_, vms)| vms.clone()).unwrap_or_default(),
        }
    }

    pub(super) fn directory(&self) -> Vec<DirectoryEntryWire> {
        let inner = self.lock();
        let dead = inner.faults.directory_dead_vm.iter();
        inner.directory.iter().chain(dead).cloned().collect()
    }

    /// Serializes a response, truncated if that fault is on.
    pub(super) fn render(&self, response: &impl serde::Serialize) -> String {
        let mut text = serde_json::to_string(response).expect("responses have string keys only");
        if self.lock().faults.answer_form == AnswerForm::Malformed {
            text.truncate(text.len() / 2);
        }
        text
    }

    fn notify_watchers(&self) {
        self.changes.send_modify(|version| *version += 1);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Converts tickets to their wire form; a text that is not JSON becomes a JSON string.
pub(super) fn tickets_wire(tickets: Vec<RawTicket>) -> TicketsWire {
    let tickets = tickets.into_iter().filter_map(|ticket| {
        let text = String::from_utf8_lossy(&ticket.body).into_owned();
        let raw = RawValue::from_string(text.clone())
            .or_else(|_| serde_json::value::to_raw_value(&text))
            .ok()?;
        Some(TicketWire {
            number: ticket.number.0,
            ticket: raw,
        })
    });
    TicketsWire {
        tickets: tickets.collect(),
    }
}

fn truncate_to_page(tickets: &mut Vec<RawTicket>) {
    let mut total_bytes = 0;
    let fitting_count = tickets
        .iter()
        .take_while(|ticket| {
            total_bytes += ticket.body.len();
            total_bytes <= PAGE_MAX_BYTES
        })
        .count();
    tickets.truncate(fitting_count.max(1));
}
