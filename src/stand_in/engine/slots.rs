//! The places in the batch of the stand-in engine.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// The places in the batch; requests of a higher priority get theirs first.
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
    granted: oneshot::Sender<Slot>,
}

/// A place in the batch; it is free again when it is dropped.
#[derive(Debug)]
pub(super) struct Slot {
    slots: Arc<Slots>,
}

/// The numbers of requests that run and that wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct SlotUse {
    /// The requests that run.
    pub(super) running: u32,
    /// The requests that wait.
    pub(super) waiting: u32,
}

impl Slots {
    /// Creates `concurrency` free places.
    pub(super) fn new(concurrency: u32) -> Arc<Self> {
        Arc::new(Self {
            concurrency,
            queue: Mutex::default(),
        })
    }

    /// Queues for a place, which comes through the returned channel.
    pub(super) fn acquire(self: &Arc<Self>, priority: u32) -> oneshot::Receiver<Slot> {
        let (granted, on_granted) = oneshot::channel();
        let mut queue = self.queue.lock();
        let arrival = queue.next_arrival;
        queue.next_arrival += 1;
        queue.waiting.push(Waiting {
            priority,
            arrival,
            granted,
        });
        drop(queue);
        self.grant();
        on_granted
    }

    /// Counts the requests that run and that wait.
    pub(super) fn in_use(&self) -> SlotUse {
        let queue = self.queue.lock();
        let waiting = queue.waiting.iter();
        let waiting = waiting.filter(|waiting| !waiting.granted.is_closed());
        SlotUse {
            running: queue.running,
            waiting: u32::try_from(waiting.count()).unwrap_or(u32::MAX),
        }
    }

    fn grant(self: &Arc<Self>) {
        while let Some(granted) = self.next_granted() {
            let slot = Slot {
                slots: Arc::clone(self),
            };
            // A slot that nobody waits for any more is dropped here and granted anew.
            drop(granted.send(slot));
        }
    }

    fn next_granted(&self) -> Option<oneshot::Sender<Slot>> {
        let mut queue = self.queue.lock();
        if queue.running >= self.concurrency {
            return None;
        }
        let waiting = queue.waiting.pop()?;
        queue.running += 1;
        Some(waiting.granted)
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
