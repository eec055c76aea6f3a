//! Answers to completion requests.

use std::sync::Arc;

use serde::Serialize;

use super::answer_body::AnswerBody;
use super::answer_events::next_content;
use super::caller_answer::CallerAnswer;
use super::caller_connection::OpenRequest;
use super::sse_encoder::SseEncoder;
use crate::endpoint::HeldBytes;
use crate::endpoint::UsageWire;
use crate::errors::GatewayError;
use crate::request::AnswerPayload;
use crate::request::AnswerStream;
use crate::request::RequestId;
use crate::request::Usage;

const COMPLETION_OBJECT: &str = "chat.completion";

/// The fields of a completion answer besides its text and usage.
#[derive(Clone, Debug)]
pub(super) struct CompletionMeta {
    /// The identifier of the request.
    pub(super) id: RequestId,
    /// The model.
    pub(super) model: String,
    /// When the answer was created, in seconds since the Unix epoch.
    pub(super) created_unix_s: u64,
}

#[derive(Serialize)]
struct CompletionAnswerWire<'a> {
    id: String,
    object: &'a str,
    created: u64,
    model: &'a str,
    choices: [CompletionChoiceWire<'a>; 1],
    usage: UsageWire,
}

#[derive(Serialize)]
struct CompletionChoiceWire<'a> {
    index: u32,
    message: CompletionMessageWire<'a>,
    finish_reason: &'a str,
}

#[derive(Serialize)]
struct CompletionMessageWire<'a> {
    role: &'a str,
    content: &'a str,
}

/// Creates a streamed answer once its first event has arrived.
///
/// # Errors
///
/// Returns an error that precedes the first event, while the status line is not sent yet.
pub(super) async fn streamed(
    meta: CompletionMeta,
    mut events: AnswerStream,
    connection: Arc<OpenRequest>,
) -> Result<CallerAnswer, GatewayError> {
    let first = next_content(&mut events).await?;
    let encoder = SseEncoder::new(meta.id, meta.model, meta.created_unix_s);
    let body = AnswerBody::new(first, events, encoder, connection);
    Ok(CallerAnswer::events(meta.id, body))
}

/// Reads all events and creates an answer with a complete body.
///
/// # Errors
///
/// Returns the error that ended the answer early, or [`ErrorKind::EndpointFailed`](crate::errors::ErrorKind::EndpointFailed) if it is too long or no
/// memory is left for it.
pub(super) async fn buffered(
    meta: CompletionMeta,
    held: &HeldBytes,
    mut events: AnswerStream,
) -> Result<CallerAnswer, GatewayError> {
    let mut text = Vec::new();
    let usage = loop {
        match next_content(&mut events).await?.payload {
            AnswerPayload::End(usage) => break usage,
            AnswerPayload::Chunk(bytes) => {
                held.add(bytes.len())?;
                text.extend_from_slice(&bytes);
            }
            AnswerPayload::KeepAlive | AnswerPayload::Head { .. } => {}
        }
    };
    Ok(CallerAnswer::json(
        meta.id,
        &meta.answer_wire(&String::from_utf8_lossy(&text), usage),
    ))
}

impl CompletionMeta {
    fn answer_wire<'a>(&'a self, content: &'a str, usage: Usage) -> CompletionAnswerWire<'a> {
        CompletionAnswerWire {
            id: self.id.to_string(),
            object: COMPLETION_OBJECT,
            created: self.created_unix_s,
            model: &self.model,
            choices: [CompletionChoiceWire {
                index: 0,
                message: CompletionMessageWire {
                    role: "assistant",
                    content,
                },
                finish_reason: "stop",
            }],
            usage: usage.into(),
        }
    }
}
