//! The events of an answer.

use std::pin::Pin;

use bytes::Bytes;
use futures::Stream;

use super::RequestId;
use crate::errors::GatewayError;

/// One event of an answer.
///
/// Offsets count the chunks of an answer from 0 without gaps; the offset of the end mark is the
/// number of chunks. An answer without an end mark is truncated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerEvent {
    /// The request that the event belongs to.
    pub request_id: RequestId,
    /// The position of the event in the answer.
    pub offset: u64,
    /// The content of the event.
    pub payload: AnswerPayload,
}

/// The content of an answer event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerPayload {
    /// The status and content type; comes first, and only from plain services.
    Head {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: String,
    },
    /// A piece of the answer: the text of one token, or bytes of a body.
    Chunk(Bytes),
    /// Shows that the answer is still in progress; has no content.
    KeepAlive,
    /// The end mark of a complete answer.
    End(Usage),
}

/// The tokens that a request used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// The part of the prompt that was found in the engine's cache, in tokens.
    pub cached_tokens: u64,
    /// The length of the answer, in tokens.
    pub answer_tokens: u64,
}

/// The events of one answer; an error ends the stream.
pub type AnswerStream = Pin<Box<dyn Stream<Item = Result<AnswerEvent, GatewayError>> + Send>>;
