//! State that is written without a lock and brought up to date when it is read.

use std::sync::mpsc::sync_channel;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::Mutex;
use std::sync::PoisonError;

/// State that takes items one by one.
pub trait Absorb {
    /// What the state takes.
    type Item;

    /// Takes one item.
    fn absorb(&mut self, item: Self::Item);
}

/// A bounded queue before a state; writers take no lock unless the queue is full.
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
    /// Puts a queue of `queue_items` before `state`.
    pub fn new(state: S, queue_items: usize) -> Self {
        let (sender, receiver) = sync_channel(queue_items);
        Self {
            sender,
            inner: Mutex::new(Inner { receiver, state }),
        }
    }

    /// Queues an item; a full queue is emptied first.
    pub fn put(&self, item: S::Item) {
        match self.sender.try_send(item) {
            Ok(()) => {}
            Err(TrySendError::Full(item) | TrySendError::Disconnected(item)) => {
                self.read(|state| state.absorb(item));
            }
        }
    }

    /// Brings the state up to date and hands it to `read`.
    pub fn read<R>(&self, read: impl FnOnce(&mut S) -> R) -> R {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let Inner { receiver, state } = &mut *inner;
        while let Ok(item) = receiver.try_recv() {
            state.absorb(item);
        }
        read(state)
    }
}
