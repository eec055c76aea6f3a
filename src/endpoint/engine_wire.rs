//! Wire types of the engine protocol.
//!
//! An engine answers `POST /v1/chat/completions` with server-sent events. Each event is an OpenAI
//! chunk that also names its request and its offset; the end mark is the chunk with a finish
//! reason and the usage.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::request::AnswerEvent;
use crate::request::AnswerPayload;
use crate::request::RequestId;
use crate::request::Usage;

/// The header with the identifier of the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header that identifies an attempt of a request, so that one attempt can be cancelled without
/// the others. An endpoint repeats it in each answer, refusals included; calls to one that does not
/// get a new connection each.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// The header with the priority of the class of work; higher numbers are served first.
pub const PRIORITY_HEADER: &str = "x-priority";
/// The header with the longest answer, in tokens; it overrides the limit in the body.
pub const ANSWER_MAX_TOKENS_HEADER: &str = "x-answer-max-tokens";
/// The header with the offset of the first chunk to send.
pub const RESUME_OFFSET_HEADER: &str = "x-resume-offset";
/// The header in which an endpoint states whether a refused call ran.
pub const RUN_STATE_HEADER: &str = "x-run-state";
/// The type of server-sent events that only keep the connection alive.
pub const KEEP_ALIVE_EVENT: &str = "keep-alive";
/// The data of the event that follows the end mark.
pub const DONE_DATA: &str = "[DONE]";

/// One event of an engine's answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct EngineEventWire {
    /// The identifier of the request, in hexadecimal.
    pub request_id: String,
    /// The position in the answer.
    pub offset: u64,
    /// The choices; one for a chunk or an end mark, none for a keep-alive.
    #[serde(default)]
    pub choices: Vec<ChoiceWire>,
    /// The usage, in the end mark.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageWire>,
}

/// One choice of a chunk.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct ChoiceWire {
    /// The index of the choice; always 0.
    pub index: u32,
    /// The added text.
    pub delta: DeltaWire,
    /// Why the answer ends; set in the end mark only.
    pub finish_reason: Option<String>,
}

/// The text that a chunk adds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct DeltaWire {
    /// The text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// The usage of a request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct UsageWire {
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// The length of the answer, in tokens.
    pub completion_tokens: u64,
    /// The sum of both, in tokens.
    pub total_tokens: u64,
    /// Details of the prompt's tokens.
    #[serde(default)]
    pub prompt_tokens_details: PromptDetailsWire,
}

/// Details of the prompt's tokens.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct PromptDetailsWire {
    /// The part found in the engine's cache, in tokens.
    pub cached_tokens: u64,
}

/// The reason why an event does not follow the engine protocol.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum EventWireError {
    /// The request id is not 32 hexadecimal digits.
    #[error("the event's request id is not 32 hexadecimal digits")]
    RequestId,

    /// The end mark has no usage.
    #[error("the end mark has no usage")]
    Usage,
}

impl From<Usage> for UsageWire {
    fn from(usage: Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.answer_tokens,
            total_tokens: usage.prompt_tokens.saturating_add(usage.answer_tokens),
            prompt_tokens_details: PromptDetailsWire {
                cached_tokens: usage.cached_tokens,
            },
        }
    }
}

impl From<UsageWire> for Usage {
    fn from(wire: UsageWire) -> Self {
        Self {
            prompt_tokens: wire.prompt_tokens,
            cached_tokens: wire.prompt_tokens_details.cached_tokens,
            answer_tokens: wire.completion_tokens,
        }
    }
}

impl From<AnswerEvent> for EngineEventWire {
    fn from(event: AnswerEvent) -> Self {
        let (choices, usage) = match event.payload {
            AnswerPayload::Chunk(text) => (vec![ChoiceWire::chunk(&text)], None),
            AnswerPayload::End(usage) => (vec![ChoiceWire::end()], Some(usage.into())),
            AnswerPayload::KeepAlive | AnswerPayload::Head { .. } => (Vec::new(), None),
        };
        Self {
            request_id: event.request_id.to_string(),
            offset: event.offset,
            choices,
            usage,
        }
    }
}

impl TryFrom<EngineEventWire> for AnswerEvent {
    type Error = EventWireError;

    fn try_from(wire: EngineEventWire) -> Result<Self, Self::Error> {
        let request_id = RequestId::from_hex(&wire.request_id).ok_or(EventWireError::RequestId)?;
        let payload = match wire.choices.into_iter().next() {
            None => AnswerPayload::KeepAlive,
            Some(choice) if choice.finish_reason.is_some() => {
                let usage = wire.usage.ok_or(EventWireError::Usage)?;
                AnswerPayload::End(usage.into())
            }
            Some(choice) => {
                AnswerPayload::Chunk(Bytes::from(choice.delta.content.unwrap_or_default()))
            }
        };
        Ok(Self {
            request_id,
            offset: wire.offset,
            payload,
        })
    }
}

impl ChoiceWire {
    /// Creates the choice of a chunk of text.
    pub fn chunk(text: impl AsRef<[u8]>) -> Self {
        Self {
            index: 0,
            delta: DeltaWire {
                content: Some(String::from_utf8_lossy(text.as_ref()).into_owned()),
            },
            finish_reason: None,
        }
    }

    /// Creates the choice of an end mark.
    pub fn end() -> Self {
        Self {
            finish_reason: Some("stop".to_owned()),
            ..Self::default()
        }
    }
}
