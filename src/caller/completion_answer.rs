//! Answers of models.

use std::sync::Arc;

use serde::Serialize;

use super::answer_body::AnswerBody;
use super::answer_events::next_content;
use super::caller_answer::CallerAnswer;
use super::caller_connection::OpenRequest;
use super::sse_encoder::SseEncoder;
use crate::endpoint::UsageWire;
use crate::errors::GatewayError;
use crate::request::AnswerPayload;
use crate::request::AnswerStream;
use crate::request::RequestId;
use crate::request::Usage;

const COMPLETION_OBJECT: &str = "chat.completion";

/// What an answer of a model tells besides its text.
#[derive(Clone, Debug)]
pub(super) struct CompletionMeta {
    /// The request.
    pub(super) id: RequestId,
    /// The model.
    pub(super) model: String,
    /// When the answer was made, in seconds since the Unix epoch.
    pub(super) created_unix_s: u64,
}

#[derive(Serialize)]
struct CompletionAnswerWire<'a> {
    id: String,
    object: &'a str,
    created: u64,
    model: &'a str,
    choices: [WholeChoiceWire<'a>; 1],
    usage: UsageWire,
}

#[derive(Serialize)]
struct WholeChoiceWire<'a> {
    index: u32,
    message: WholeMessageWire<'a>,
    finish_reason: &'a str,
}

#[derive(Serialize)]
struct WholeMessageWire<'a> {
    role: &'a str,
    content: &'a str,
}

/// Makes a streamed answer, once its first event has come.
///
/// # Errors
///
/// Returns the failure if it comes before the first event, as nothing was sent to the caller yet.
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

/// Makes a whole answer.
///
/// # Errors
///
/// Returns the failure that ended the answer early.
pub(super) async fn whole(
    meta: CompletionMeta,
    mut events: AnswerStream,
) -> Result<CallerAnswer, GatewayError> {
    let mut text = Vec::new();
    let usage = loop {
        match next_content(&mut events).await?.payload {
            AnswerPayload::End(usage) => break usage,
            AnswerPayload::Chunk(bytes) => text.extend_from_slice(&bytes),
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
            choices: [WholeChoiceWire {
                index: 0,
                message: WholeMessageWire {
                    role: "assistant",
                    content,
                },
                finish_reason: "stop",
            }],
            usage: usage.into(),
        }
    }
}
