//! Answers to callers' requests.

use bytes::Bytes;
use rocket::http::ContentType;
use rocket::http::Header;
use rocket::http::Status;
use rocket::response::Responder;
use rocket::response::Result;
use rocket::Request;
use rocket::Response;
use serde::Serialize;

use super::answer_body::AnswerBody;
use super::ErrorBodyWire;
use crate::endpoint::REQUEST_ID_HEADER;
use crate::errors::GatewayError;
use crate::request::RequestId;

/// The answer to a caller's request.
pub(super) struct CallerAnswer {
    id: RequestId,
    status: Status,
    content_type: String,
    retry_after_s: Option<u64>,
    body: Body,
}

enum Body {
    Buffered(Bytes),
    Streamed(AnswerBody),
}

impl CallerAnswer {
    /// Creates the answer that reports `error`.
    pub(super) fn error(id: RequestId, error: &GatewayError) -> Self {
        let body = ErrorBodyWire::new(error, id).to_json();
        Self {
            retry_after_s: error.retry_after.map(whole_seconds),
            ..Self::buffered(
                id,
                error.kind.answer().status,
                ContentType::JSON.to_string(),
                Bytes::from(body),
            )
        }
    }

    /// Creates a JSON answer with status 200.
    pub(super) fn json(id: RequestId, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("wire types serialize to JSON");
        Self::buffered(id, 200, ContentType::JSON.to_string(), Bytes::from(body))
    }

    /// Creates an answer whose complete body is known.
    pub(super) fn buffered(id: RequestId, status: u16, content_type: String, body: Bytes) -> Self {
        Self {
            id,
            status: Status::new(status),
            content_type,
            retry_after_s: None,
            body: Body::Buffered(body),
        }
    }

    /// Creates an answer of server-sent events.
    pub(super) fn events(id: RequestId, body: AnswerBody) -> Self {
        Self {
            id,
            status: Status::Ok,
            content_type: ContentType::EventStream.to_string(),
            retry_after_s: None,
            body: Body::Streamed(body),
        }
    }
}

impl<'r> Responder<'r, 'r> for CallerAnswer {
    fn respond_to(self, _request: &'r Request<'_>) -> Result<'r> {
        let mut response = Response::new();
        response.set_status(self.status);
        response.set_header(Header::new("content-type", self.content_type));
        response.set_header(Header::new(REQUEST_ID_HEADER, self.id.to_string()));
        if let Some(retry_after_s) = self.retry_after_s {
            response.set_header(Header::new("retry-after", retry_after_s.to_string()));
        }
        match self.body {
            Body::Buffered(bytes) => {
                response.set_sized_body(bytes.len(), std::io::Cursor::new(bytes));
            }
            Body::Streamed(body) => {
                response.set_header(Header::new("cache-control", "no-store"));
                response.set_streamed_body(body.into_reader());
            }
        }
        Ok(response)
    }
}

/// Rounds up, so that a caller never retries too early.
fn whole_seconds(duration: std::time::Duration) -> u64 {
    let has_fraction = duration.subsec_nanos() > 0;
    duration.as_secs().saturating_add(u64::from(has_fraction))
}
