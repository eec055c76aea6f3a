//! The body of a completion request.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::error::Category;

use super::estimate_tokens;
use super::prefix_hashes;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::request::CompletionCall;

/// The longest answer of a request without a limit, in tokens.
const DEFAULT_ANSWER_MAX_TOKENS: u64 = 1_024;
/// The highest limit that a request may set, in tokens.
const ANSWER_MAX_TOKENS_LIMIT: u64 = 1 << 32;

/// The fields of a completion request that the gateway reads; the engine gets the original body.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct CompletionWire {
    /// The model.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<MessageWire>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: Option<bool>,
    /// The longest answer, in tokens.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// The longest answer, in tokens; the newer OpenAI name, which takes precedence over
    /// `max_tokens`.
    #[serde(default)]
    pub max_completion_tokens: Option<u64>,
}

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct MessageWire {
    /// The author, such as `user`.
    pub role: String,
    /// The content; absent in some messages.
    #[serde(default)]
    pub content: Option<ContentWire>,
}

/// The content of a message.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(untagged)]
pub enum ContentWire {
    /// A text.
    Text(String),
    /// Parts of several types.
    Parts(Vec<PartWire>),
}

/// One part of a message.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct PartWire {
    /// The text, in parts that are texts.
    #[serde(default)]
    pub text: Option<String>,
}

impl MessageWire {
    /// Returns the text of all parts.
    pub fn text(&self) -> String {
        match &self.content {
            None => String::new(),
            Some(ContentWire::Text(text)) => text.clone(),
            Some(ContentWire::Parts(parts)) => {
                parts.iter().filter_map(|part| part.text.clone()).collect()
            }
        }
    }

    /// Returns the length of the text of all parts, in bytes.
    pub fn text_bytes(&self) -> u64 {
        let length = match &self.content {
            None => 0,
            Some(ContentWire::Text(text)) => text.len(),
            Some(ContentWire::Parts(parts)) => {
                let texts = parts.iter().filter_map(|part| part.text.as_ref());
                texts.map(String::len).sum()
            }
        };
        u64::try_from(length).unwrap_or(u64::MAX)
    }
}

impl CompletionWire {
    /// Parses the body of a request.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::MalformedRequest`] with the path of the invalid field.
    pub fn parse(body: &[u8]) -> Result<Self, GatewayError> {
        let mut deserializer = serde_json::Deserializer::from_slice(body);
        let wire: Self = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|error| malformed(describe(&error)))?;
        deserializer
            .end()
            .map_err(|_| malformed("there is text after the JSON of the body"))?;
        Ok(wire)
    }

    /// Converts the request into a call that forwards `body`.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::MalformedRequest`] if there are no messages or the limit of the
    /// answer is out of range.
    pub fn into_call(self, body: Bytes) -> Result<CompletionCall, GatewayError> {
        if self.messages.is_empty() {
            return Err(malformed("messages must not be empty"));
        }
        Ok(CompletionCall {
            body,
            prompt_tokens: estimate_tokens(&self.messages),
            answer_max_tokens: self.answer_max_tokens()?,
            is_answer_length_unset: self.max_completion_tokens.or(self.max_tokens).is_none(),
            is_stream: self.stream.unwrap_or(false),
            prefix_hashes: prefix_hashes(&self.model, &self.messages),
        })
    }

    fn answer_max_tokens(&self) -> Result<u64, GatewayError> {
        let requested = self.max_completion_tokens.or(self.max_tokens);
        match requested {
            None => Ok(DEFAULT_ANSWER_MAX_TOKENS),
            Some(tokens) if (1..=ANSWER_MAX_TOKENS_LIMIT).contains(&tokens) => Ok(tokens),
            Some(_) => Err(malformed(format!(
                "max_tokens must be between 1 and {ANSWER_MAX_TOKENS_LIMIT}"
            ))),
        }
    }
}

/// Describes where a body is invalid, without quoting any of its values.
fn describe(error: &serde_path_to_error::Error<serde_json::Error>) -> String {
    let inner = error.inner();
    let position = format!("line {} column {}", inner.line(), inner.column());
    let path = match error.path().to_string() {
        path if path == "." => "the body".to_owned(),
        path => path,
    };
    let text = inner.to_string();
    match text.split_once(" at line ") {
        Some((missing, _)) if text.starts_with("missing field") => {
            format!("{missing} in {path}, at {position}")
        }
        _ if inner.classify() != Category::Data => format!("the body is not JSON, at {position}"),
        _ => format!("{path} is of a wrong type or out of range, at {position}"),
    }
}

fn malformed(message: impl Into<String>) -> GatewayError {
    GatewayError::new(ErrorKind::MalformedRequest, message)
}
