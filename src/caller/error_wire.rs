//! Errors as callers see them.

use serde::Deserialize;
use serde::Serialize;

use crate::errors::GatewayError;
use crate::request::RequestId;

/// The body of an error answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ErrorBodyWire {
    /// The error.
    pub error: ErrorWire,
}

/// An error as callers see it.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ErrorWire {
    /// The stable code.
    pub kind: String,
    /// The human-readable description.
    pub message: String,
    /// The identifier of the request, in hexadecimal.
    pub request_id: String,
    /// Whether the request ran: the text of a `RunState`.
    pub run: String,
    /// How long to wait before a retry, in milliseconds; absent if that is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl ErrorBodyWire {
    /// Creates the body that reports `error` of the request `id`.
    pub fn new(error: &GatewayError, id: RequestId) -> Self {
        let retry_after_ms = error
            .retry_after
            .map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        Self {
            error: ErrorWire {
                kind: error.kind.answer().code.to_owned(),
                message: error.message.clone(),
                request_id: id.to_string(),
                run: error.run.as_str().to_owned(),
                retry_after_ms,
            },
        }
    }

    /// Returns the body in JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("wire types serialize to JSON")
    }
}
