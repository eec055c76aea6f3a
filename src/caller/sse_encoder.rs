//! Encodes the events of an answer for callers.

use bytes::Bytes;
use serde::Serialize;

use super::ErrorBodyWire;
use crate::endpoint::ChoiceWire;
use crate::endpoint::UsageWire;
use crate::endpoint::DONE_DATA;
use crate::errors::GatewayError;
use crate::request::AnswerPayload;
use crate::request::RequestId;

const CHUNK_OBJECT: &str = "chat.completion.chunk";

/// Encodes events of an answer as server-sent events in the OpenAI format.
#[derive(Clone, Debug)]
pub(super) struct SseEncoder {
    id: RequestId,
    model: String,
    created_unix_s: u64,
}

#[derive(Serialize)]
struct ChunkWire<'a> {
    id: String,
    object: &'a str,
    created: u64,
    model: &'a str,
    choices: Vec<ChoiceWire>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageWire>,
}

impl SseEncoder {
    /// Creates an encoder of the answer to the request `id`.
    pub(super) fn new(id: RequestId, model: impl Into<String>, created_unix_s: u64) -> Self {
        Self {
            id,
            model: model.into(),
            created_unix_s,
        }
    }

    /// Encodes one event; an end mark is followed by the `[DONE]` event.
    pub(super) fn encode(&self, payload: AnswerPayload) -> Bytes {
        match payload {
            AnswerPayload::Chunk(text) => self.chunk(ChoiceWire::chunk(text), None),
            AnswerPayload::End(usage) => {
                let end = self.chunk(ChoiceWire::end(), Some(usage.into()));
                let mut bytes = Vec::from(end);
                bytes.extend_from_slice(format!("data: {DONE_DATA}\n\n").as_bytes());
                Bytes::from(bytes)
            }
            AnswerPayload::KeepAlive | AnswerPayload::Head { .. } => {
                Bytes::from_static(b": keep-alive\n\n")
            }
        }
    }

    /// Encodes the error event that ends a stream early.
    pub(super) fn encode_error(&self, error: &GatewayError) -> Bytes {
        let json = ErrorBodyWire::new(error, self.id).to_json();
        Bytes::from(format!("event: error\ndata: {json}\n\n"))
    }

    fn chunk(&self, choice: ChoiceWire, usage: Option<UsageWire>) -> Bytes {
        let wire = ChunkWire {
            id: self.id.to_string(),
            object: CHUNK_OBJECT,
            created: self.created_unix_s,
            model: &self.model,
            choices: vec![choice],
            usage,
        };
        let json = serde_json::to_string(&wire).expect("wire types serialize to JSON");
        Bytes::from(format!("data: {json}\n\n"))
    }
}
