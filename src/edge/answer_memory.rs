//! The memory of one answer of which a part has arrived.

use super::UpstreamError;
use crate::entry::BodyPermit;
use crate::entry::EntryState;

/// The bytes of an answer that take nothing of the memory that all answers share: long answers must not
/// fail the usual ones.
const UNSHARED_BYTES: usize = 16 * 1024;

/// The memory of one answer; dropping it releases it.
#[derive(Debug)]
pub(super) struct AnswerMemory {
    permit: BodyPermit,
}

impl AnswerMemory {
    pub(super) fn new(state: &EntryState) -> Self {
        Self {
            permit: state.answer_memory.permit(),
        }
    }

    /// Takes the memory for so many bytes in all, and releases the rest.
    ///
    /// # Errors
    ///
    /// Returns [`UpstreamError::TooLong`] over the limit of one answer, and [`UpstreamError::NoMemory`] if
    /// other answers have the memory that is left.
    pub(super) fn hold(&mut self, bytes: usize, max_bytes: usize) -> Result<(), UpstreamError> {
        if bytes > max_bytes {
            return Err(UpstreamError::TooLong(max_bytes));
        }
        match self.permit.try_resize(bytes.saturating_sub(UNSHARED_BYTES)) {
            true => Ok(()),
            false => Err(UpstreamError::NoMemory),
        }
    }

    /// Releases all memory, as what arrived was passed on.
    pub(super) fn release(&mut self) {
        *self = Self {
            permit: self.permit.empty(),
        };
    }
}
