//! When an endpoint stand-in worked on which request.

use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;

/// The work of an endpoint on one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// The identifier of the request.
    pub request_id: String,
    /// When it began.
    pub from: Instant,
    /// When the answer ended or its connection was closed; `None` if it goes on.
    pub until: Option<Instant>,
}

/// When an endpoint worked on which request.
#[derive(Debug, Default)]
pub(super) struct WorkLog {
    works: Mutex<Vec<Work>>,
}

impl WorkLog {
    /// Records that work on a request begins; it ends when the returned value is dropped.
    pub(super) fn begin(self: &Arc<Self>, request_id: &str) -> RunningWork {
        let mut works = self.works.lock();
        works.push(Work {
            request_id: request_id.to_owned(),
            from: Instant::now(),
            until: None,
        });
        RunningWork {
            log: Arc::clone(self),
            index: works.len() - 1,
        }
    }

    /// Returns all work so far, in the order of its beginning.
    pub(super) fn works(&self) -> Vec<Work> {
        self.works.lock().clone()
    }

    /// Returns the number of requests that are worked on.
    pub(super) fn running_count(self: &Arc<Self>) -> usize {
        // Each running work holds a clone.
        Arc::strong_count(self) - 1
    }
}

/// Work that goes on until this value is dropped.
#[derive(Debug)]
pub(super) struct RunningWork {
    log: Arc<WorkLog>,
    index: usize,
}

impl Drop for RunningWork {
    fn drop(&mut self) {
        let mut works = self.log.works.lock();
        works[self.index].until = Some(Instant::now());
    }
}
