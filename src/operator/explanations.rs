//! A bounded store for the explanations of recent requests.

use std::collections::HashMap;
use std::collections::VecDeque;

use super::Explanation;
use crate::request::RequestId;
use crate::telemetry::Absorb;
use crate::telemetry::Queued;

const QUEUE_EXPLANATIONS: usize = 1024;

/// The explanations of the most recent requests; when full, it evicts the oldest.
#[derive(Debug)]
pub struct Explanations(Queued<ExplanationRing>);

#[derive(Debug)]
struct ExplanationRing {
    capacity: usize,
    by_request: HashMap<RequestId, Explanation>,
    oldest_first: VecDeque<RequestId>,
}

impl Explanations {
    /// Creates a store for `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        let ring = ExplanationRing {
            capacity: capacity.max(1),
            by_request: HashMap::new(),
            oldest_first: VecDeque::new(),
        };
        Self(Queued::new(ring, QUEUE_EXPLANATIONS))
    }

    /// Stores an explanation; takes no lock unless the queue is full.
    pub fn put(&self, explanation: Explanation) {
        self.0.put(explanation);
    }

    /// Finds the explanation of a request.
    pub fn get(&self, request_id: RequestId) -> Option<Explanation> {
        self.0
            .read(|ring| ring.by_request.get(&request_id).cloned())
    }

    /// Absorbs the queued explanations.
    ///
    /// Called periodically, so that no request finds the queue full and has to absorb it.
    pub fn catch_up(&self) {
        self.0.read(|_| ());
    }
}

impl Absorb for ExplanationRing {
    type Item = Explanation;

    fn absorb(&mut self, explanation: Explanation) {
        let request_id = explanation.request_id;
        if self.by_request.insert(request_id, explanation).is_some() {
            return;
        }
        self.oldest_first.push_back(request_id);
        if self.oldest_first.len() > self.capacity {
            if let Some(oldest) = self.oldest_first.pop_front() {
                self.by_request.remove(&oldest);
            }
        }
    }
}
