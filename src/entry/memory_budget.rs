//! Bounds the memory for the bodies of requests and answers.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// The bodies of requests, and those of answers, may take the process's memory divided by this.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// The memory left for bodies; clones share it.
///
/// It is used by one thread, but the bytes of an answer that hold a permit must be `Send`.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    free_bytes: Arc<AtomicU64>,
}

/// A permit for some bytes of a [`MemoryBudget`]; dropping it releases them.
#[derive(Debug)]
pub struct BodyPermit {
    budget: MemoryBudget,
    bytes: u64,
}

impl MemoryBudget {
    /// Creates the budget of a process that may use `memory_max_bytes`.
    pub fn new(memory_max_bytes: u64) -> Self {
        Self {
            free_bytes: Arc::new(AtomicU64::new(memory_max_bytes / BODY_MEMORY_DIVISOR)),
        }
    }

    /// Returns a permit for zero bytes.
    pub fn permit(&self) -> BodyPermit {
        BodyPermit {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl BodyPermit {
    /// Reserves further bytes; returns whether the budget had them.
    pub fn try_extend(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        let free_bytes = self.budget.free_bytes.load(Ordering::Relaxed);
        if bytes > free_bytes {
            return false;
        }
        self.budget.free_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        true
    }

    /// Returns a permit for zero bytes of the same budget.
    pub fn empty(&self) -> Self {
        self.budget.permit()
    }

    /// Reserves so many bytes in all, and releases those beyond; returns whether the budget had them.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let released = self.bytes.saturating_sub(bytes as u64);
        self.budget
            .free_bytes
            .fetch_add(released, Ordering::Relaxed);
        self.bytes -= released;
        self.try_extend(bytes.saturating_sub(self.bytes as usize))
    }
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        self.budget
            .free_bytes
            .fetch_add(self.bytes, Ordering::Relaxed);
    }
}
