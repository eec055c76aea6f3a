//! State that is updated through a queue, and brought up to date when it is read.

use std::sync::mpsc::sync_channel;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::Mutex;
use std::sync::PoisonError;

/// State that is updated by one item at a time.
pub trait Absorb {
    /// The type of the items.
    type Item;

    /// Applies one item to the state.
    fn absorb(&mut self, item: Self::Item);
}

/// A state behind a bounded queue of items; writers take no lock unless the queue is full.
#[derive(Debug)]
pub struct Queued<S: Absorb> {
    sender: SyncSender<S::Item>,
    inner: Mutex<Inner<S>>,
}

#[derive(Debug)]
struct Inner<S: Absorb> {
    receiver: Receiver<S::Item>,
    state: S,
}

impl<S: Absorb> Queued<S> {
    /// Creates the queue, of at most `queue_items` items, for `state`.
    pub fn new(state: S, queue_items: usize) -> Self {
        let (sender, receiver) = sync_channel(queue_items);
        Self {
            sender,
            inner: Mutex::new(Inner { receiver, state }),
        }
    }

    /// Queues an item; if the queue is full, applies all queued items and then this one.
    pub fn put(&self, item: S::Item) {
        match self.sender.try_send(item) {
            Ok(()) => {}
            Err(TrySendError::Full(item) | TrySendError::Disconnected(item)) => {
                self.read(|state| state.absorb(item));
            }
        }
    }

    /// Applies the queued items to the state and passes it to `read`.
    pub fn read<R>(&self, read: impl FnOnce(&mut S) -> R) -> R {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let Inner { receiver, state } = &mut *inner;
        while let Ok(item) = receiver.try_recv() {
            state.absorb(item);
        }
        read(state)
    }
}
