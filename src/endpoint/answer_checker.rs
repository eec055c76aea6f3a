//! Checks the request and the offset of each event of an answer.

use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::request::AnswerEvent;
use crate::request::AnswerPayload;
use crate::request::RequestId;

/// Whether a received event is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The event is the next one of the answer.
    Pass,
    /// The event belongs to another request, was received before, or follows the end mark.
    Drop,
}

/// Passes each event of one request's answer exactly once, and detects gaps.
#[derive(Clone, Debug)]
pub struct AnswerChecker {
    request_id: RequestId,
    next_offset: u64,
    chunks_max: u64,
    is_ended: bool,
}

impl AnswerChecker {
    /// Creates a checker of an answer whose first chunk has the offset `first_offset`.
    pub fn new(request_id: RequestId, first_offset: u64) -> Self {
        Self {
            request_id,
            next_offset: first_offset,
            chunks_max: u64::MAX,
            is_ended: false,
        }
    }

    /// Sets the largest number of chunks of the whole answer; a chunk is at least one token.
    #[must_use]
    pub fn with_chunk_limit(mut self, chunks_max: u64) -> Self {
        self.chunks_max = chunks_max;
        self
    }

    /// Checks the next received event.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::AnswerTruncated`] if chunks before the event are missing, and
    /// [`ErrorKind::EndpointFailed`] if the answer is over its chunk limit or its end mark counts
    /// too few chunks.
    pub fn check(&mut self, event: &AnswerEvent) -> Result<Verdict, GatewayError> {
        if self.is_ended || event.request_id != self.request_id {
            return Ok(Verdict::Drop);
        }
        match event.payload {
            AnswerPayload::Head { .. } | AnswerPayload::KeepAlive => Ok(Verdict::Pass),
            AnswerPayload::Chunk(_) => self.check_chunk(event.offset),
            AnswerPayload::End(_) => self.check_end(event.offset),
        }
    }

    /// Returns whether the end mark was received.
    pub const fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Returns the offset of the next expected chunk.
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    fn check_chunk(&mut self, offset: u64) -> Result<Verdict, GatewayError> {
        if offset < self.next_offset {
            return Ok(Verdict::Drop);
        }
        self.reject_gap(offset)?;
        if offset >= self.chunks_max {
            return Err(GatewayError::new(
                ErrorKind::EndpointFailed,
                "the answer is longer than the requested limit",
            ));
        }
        self.next_offset += 1;
        Ok(Verdict::Pass)
    }

    fn check_end(&mut self, chunk_count: u64) -> Result<Verdict, GatewayError> {
        if chunk_count < self.next_offset {
            return Err(GatewayError::new(
                ErrorKind::EndpointFailed,
                "the end mark of the answer counts fewer chunks than were received",
            ));
        }
        self.reject_gap(chunk_count)?;
        self.is_ended = true;
        Ok(Verdict::Pass)
    }

    fn reject_gap(&self, offset: u64) -> Result<(), GatewayError> {
        if offset == self.next_offset {
            return Ok(());
        }
        Err(GatewayError::new(
            ErrorKind::AnswerTruncated,
            "chunks of the answer are missing",
        ))
    }
}
