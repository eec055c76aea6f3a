//! The batch slots of the stand-in engine.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// The slots of the batch, granted by priority and then by order of arrival.
#[derive(Debug)]
pub(super) struct Slots {
    concurrency: u32,
    queue: Mutex<Queue>,
}

#[derive(Debug, Default)]
struct Queue {
    running: u32,
    next_arrival: u64,
    waiting: BinaryHeap<Waiting>,
}

#[derive(Debug)]
struct Waiting {
    priority: u32,
    arrival: u64,
    slot_sender: oneshot::Sender<Slot>,
}

/// A slot of the batch; dropping it frees the slot and grants it to the next request.
#[derive(Debug)]
pub(super) struct Slot {
    slots: Arc<Slots>,
}

/// The numbers of running and waiting requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct SlotUse {
    /// The number of requests that hold a slot.
    pub(super) running: u32,
    /// The number of requests that wait for a slot.
    pub(super) waiting: u32,
}

impl Slots {
    /// Creates `concurrency` free slots.
    pub(super) fn new(concurrency: u32) -> Arc<Self> {
        Arc::new(Self {
            concurrency,
            queue: Mutex::default(),
        })
    }

    /// Queues for a slot, which is sent through the returned channel.
    pub(super) fn acquire(self: &Arc<Self>, priority: u32) -> oneshot::Receiver<Slot> {
        let (slot_sender, slot_receiver) = oneshot::channel();
        let mut queue = self.queue.lock();
        let arrival = queue.next_arrival;
        queue.next_arrival += 1;
        queue.waiting.push(Waiting {
            priority,
            arrival,
            slot_sender,
        });
        drop(queue);
        self.grant();
        slot_receiver
    }

    /// Counts the running requests and those that still wait.
    pub(super) fn in_use(&self) -> SlotUse {
        let queue = self.queue.lock();
        let waiting = queue.waiting.iter();
        let waiting = waiting.filter(|waiting| !waiting.slot_sender.is_closed());
        SlotUse {
            running: queue.running,
            waiting: u32::try_from(waiting.count()).unwrap_or(u32::MAX),
        }
    }

    fn grant(self: &Arc<Self>) {
        while let Some(slot_sender) = self.pop_waiting() {
            let slot = Slot {
                slots: Arc::clone(self),
            };
            // If the receiver is gone, this drops the slot, which grants it to the next request.
            drop(slot_sender.send(slot));
        }
    }

    fn pop_waiting(&self) -> Option<oneshot::Sender<Slot>> {
        let mut queue = self.queue.lock();
        if queue.running >= self.concurrency {
            return None;
        }
        let waiting = queue.waiting.pop()?;
        queue.running += 1;
        Some(waiting.slot_sender)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.queue.lock().running -= 1;
        self.slots.grant();
    }
}

impl Ord for Waiting {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_priority = self.priority.cmp(&other.priority);
        by_priority.then_with(|| other.arrival.cmp(&self.arrival))
    }
}

impl PartialOrd for Waiting {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Waiting {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Waiting {}
