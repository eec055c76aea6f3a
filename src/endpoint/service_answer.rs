//! Reads the answer of a plain service.

use std::pin::Pin;

use bytes::Bytes;
use futures::stream;
use futures::Stream;
use futures::StreamExt;
use reqwest::header::CONTENT_TYPE;
use reqwest::header::TRANSFER_ENCODING;
use reqwest::Response;

use super::call_guard::CallGuard;
use super::time_limits::TimeLimits;
use super::transport_errors;
use super::upload::UploadProgress;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::request::AnswerEvent;
use crate::request::AnswerPayload;
use crate::request::AnswerStream;
use crate::request::RequestId;
use crate::request::Usage;

const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

type Body = Pin<Box<dyn Stream<Item = Result<Bytes, reqwest::Error>> + Send>>;

/// The answer of a plain service that is being read.
///
/// The body is complete when its `content-length` bytes or its last chunk have arrived; the HTTP
/// client reports anything less as an error. A body without either ends with its connection, and is complete if the
/// whole upload was taken before.
pub(super) struct ServiceAnswer {
    head: Option<AnswerPayload>,
    body: Body,
    /// The upload before whose end the body must not end; `None` if the end of the connection does not end it.
    upload: Option<UploadProgress>,
    request_id: RequestId,
    next_offset: u64,
    limits: TimeLimits,
    guard: CallGuard,
}

impl ServiceAnswer {
    /// Starts reading the body of `response`, the answer to `upload`.
    pub(super) fn new(
        response: Response,
        upload: Option<UploadProgress>,
        request_id: RequestId,
        limits: TimeLimits,
        guard: CallGuard,
    ) -> Self {
        Self {
            head: Some(head_of(&response)),
            upload: upload.filter(|_| ends_with_connection(&response)),
            body: Box::pin(response.bytes_stream()),
            request_id,
            next_offset: 0,
            limits,
            guard,
        }
    }

    /// Returns the events; the stream ends after the end mark or an error.
    pub(super) fn into_stream(self) -> AnswerStream {
        Box::pin(stream::unfold(Some(self), |answer| async move {
            let mut answer = answer?;
            match answer.next_payload().await {
                Ok(payload) => {
                    let is_end = matches!(payload, AnswerPayload::End(_));
                    let event = answer.event(payload);
                    Some((Ok(event), (!is_end).then_some(answer)))
                }
                Err(error) => Some((Err(error), None)),
            }
        }))
    }

    fn event(&mut self, payload: AnswerPayload) -> AnswerEvent {
        let offset = self.next_offset;
        if matches!(payload, AnswerPayload::Chunk(_)) {
            self.next_offset += 1;
        }
        AnswerEvent {
            request_id: self.request_id,
            offset,
            payload,
        }
    }

    fn is_ended_early(&self) -> bool {
        let upload = self.upload.as_ref();
        upload.is_some_and(|upload| !upload.is_taken())
    }

    async fn next_payload(&mut self) -> Result<AnswerPayload, GatewayError> {
        if let Some(head) = self.head.take() {
            return Ok(head);
        }
        let received = self.limits.enforce(self.body.next()).await;
        if matches!(&received, Err(error) if error.kind == ErrorKind::AnswerSilent) {
            self.guard.discard_pool();
        }
        match received? {
            None if self.is_ended_early() => Err(transport_errors::truncated()),
            None => Ok(AnswerPayload::End(Usage::default())),
            Some(Ok(bytes)) => {
                self.limits.restart_silence_timeout();
                Ok(AnswerPayload::Chunk(bytes))
            }
            Some(Err(_)) => Err(transport_errors::truncated()),
        }
    }
}

/// Returns whether the body has neither a length nor chunks, so that only the end of the connection ends it.
fn ends_with_connection(response: &Response) -> bool {
    let is_chunked = response.headers().contains_key(TRANSFER_ENCODING);
    response.content_length().is_none() && !is_chunked
}

fn head_of(response: &Response) -> AnswerPayload {
    let content_type = response
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or(DEFAULT_CONTENT_TYPE);
    AnswerPayload::Head {
        status: response.status().as_u16(),
        content_type: content_type.to_owned(),
    }
}
