//! Bounds the memory for request bodies.

use std::cell::Cell;
use std::rc::Rc;

/// Request bodies may take the process's memory divided by this.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// The memory left for request bodies; clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    free_bytes: Rc<Cell<u64>>,
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
            free_bytes: Rc::new(Cell::new(memory_max_bytes / BODY_MEMORY_DIVISOR)),
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
        let free_bytes = self.budget.free_bytes.get();
        if bytes > free_bytes {
            return false;
        }
        self.budget.free_bytes.set(free_bytes - bytes);
        self.bytes += bytes;
        true
    }
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        let free_bytes = self.budget.free_bytes.get();
        self.budget.free_bytes.set(free_bytes + self.bytes);
    }
}
