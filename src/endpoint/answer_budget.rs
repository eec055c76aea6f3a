//! Bounds the memory for what has arrived in part of answers.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use super::transport_errors;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;

/// The bytes of an answer that take nothing of the memory that all share: long ones must not fail the
/// usual ones.
const UNSHARED_BYTES: usize = 16 * 1024;

/// The memory for what has arrived in part, of all answers together; clones share it.
#[derive(Clone, Debug)]
pub struct AnswerBudget {
    one_max_bytes: usize,
    shared_max_bytes: usize,
    held_bytes: Arc<AtomicUsize>,
}

impl AnswerBudget {
    /// Creates a budget of at most `one_max_bytes` for one answer and `shared_max_bytes` for all.
    pub fn new(one_max_bytes: usize, shared_max_bytes: usize) -> Self {
        Self {
            one_max_bytes,
            shared_max_bytes,
            held_bytes: Arc::default(),
        }
    }

    /// Returns the bytes of an answer that begins.
    pub fn begin(&self) -> HeldBytes {
        HeldBytes {
            budget: self.clone(),
            bytes: AtomicUsize::new(0),
        }
    }
}

/// The bytes of one answer that are held; dropping them releases them.
#[derive(Debug)]
pub struct HeldBytes {
    budget: AnswerBudget,
    bytes: AtomicUsize,
}

impl HeldBytes {
    /// Adds bytes that have arrived.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::EndpointFailed`] if they are too many, or if other answers have the memory that
    /// is left.
    pub fn add(&self, bytes: usize) -> Result<(), GatewayError> {
        let before = self.bytes.fetch_add(bytes, Ordering::Relaxed);
        let after = before + bytes;
        let added = shared_part(after) - shared_part(before);
        let held = self.budget.held_bytes.fetch_add(added, Ordering::Relaxed) + added;
        let max_bytes = self.budget.one_max_bytes;
        if after > max_bytes {
            return Err(transport_errors::malformed(format!(
                "the answer of the endpoint, or an event of it, is longer than {max_bytes} bytes"
            )));
        }
        if added > 0 && held > self.budget.shared_max_bytes {
            return Err(GatewayError::new(
                ErrorKind::EndpointFailed,
                "no memory is left for long answers",
            ));
        }
        Ok(())
    }

    /// Releases the bytes, as they were passed on.
    pub fn release(&self) {
        let bytes = self.bytes.swap(0, Ordering::Relaxed);
        let shared = shared_part(bytes);
        self.budget.held_bytes.fetch_sub(shared, Ordering::Relaxed);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.release();
    }
}

const fn shared_part(bytes: usize) -> usize {
    bytes.saturating_sub(UNSHARED_BYTES)
}
