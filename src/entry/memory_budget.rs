//! The bound on request bodies held in memory.

use std::cell::Cell;
use std::rc::Rc;

/// The part of the process's memory that bodies of requests may take.
const BODY_PART: u64 = 4;

/// The bytes of request bodies that the process may hold.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    free_bytes: Rc<Cell<u64>>,
}

/// The right to hold some bytes; it is given back when dropped.
#[derive(Debug)]
pub struct BodyPermit {
    budget: MemoryBudget,
    bytes: u64,
}

impl MemoryBudget {
    /// Creates the budget of a process that may use `memory_max_bytes`.
    pub fn new(memory_max_bytes: u64) -> Self {
        Self {
            free_bytes: Rc::new(Cell::new(memory_max_bytes / BODY_PART)),
        }
    }

    /// Returns an empty permit.
    pub fn permit(&self) -> BodyPermit {
        BodyPermit {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl BodyPermit {
    /// Takes further bytes; returns whether they were free.
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
