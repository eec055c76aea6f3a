//! Outcomes of calls.

use bytes::Bytes;

use crate::request::Usage;

/// How a submission that proceeded ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It ran, and its answer is stored.
    Completed(StoredAnswer),
    /// It ran, and its answer is not stored.
    RanUnkept,
    /// It may have run.
    Unknown,
    /// It certainly did not run.
    NotRun,
}

/// The complete answer of a plain service, stored for duplicates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
    /// The tokens that the call used.
    pub usage: Usage,
}

impl CallOutcome {
    /// Returns the size of the stored answer in bytes, 0 without one.
    pub(super) fn stored_bytes(&self) -> usize {
        match self {
            Self::Completed(answer) => answer.body.len() + answer.content_type.len(),
            Self::RanUnkept | Self::Unknown | Self::NotRun => 0,
        }
    }

    /// Returns the outcome, without its answer if that is longer than `answer_max_bytes`.
    pub(super) fn bounded(self, answer_max_bytes: usize) -> Self {
        match self {
            Self::Completed(_) if self.stored_bytes() > answer_max_bytes => Self::RanUnkept,
            other => other,
        }
    }
}
