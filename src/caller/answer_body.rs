//! The body of a streamed answer.

use std::io;
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use futures::Stream;
use tokio::io::AsyncRead;
use tokio_util::io::StreamReader;

use super::answer_events::next_event;
use super::caller_connection::OpenRequest;
use super::sse_encoder::SseEncoder;
use crate::errors::GatewayError;
use crate::request::AnswerEvent;
use crate::request::AnswerPayload;
use crate::request::AnswerStream;

/// The body of a streamed answer.
///
/// The connection counts the answer as open until its end mark is encoded, so the relay never
/// passes on the last chunk of a body that is truncated for any reason.
pub(super) struct AnswerBody {
    pending: Option<AnswerEvent>,
    events: AnswerStream,
    encoder: SseEncoder,
    connection: Arc<OpenRequest>,
    is_finished: bool,
}

impl AnswerBody {
    /// Creates the body of the answer that starts with `first`.
    pub(super) fn new(
        first: AnswerEvent,
        events: AnswerStream,
        encoder: SseEncoder,
        connection: Arc<OpenRequest>,
    ) -> Self {
        connection.begin_answer();
        Self {
            pending: Some(first),
            events,
            encoder,
            connection,
            is_finished: false,
        }
    }

    /// Returns a reader of the events encoded as server-sent events.
    pub(super) fn into_reader(self) -> impl AsyncRead + Send {
        StreamReader::new(self.into_byte_stream())
    }

    fn into_byte_stream(self) -> Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>> {
        Box::pin(stream::unfold(self, |mut body| async move {
            let bytes = body.next_bytes().await?;
            Some((Ok(bytes), body))
        }))
    }

    async fn next_bytes(&mut self) -> Option<Bytes> {
        if self.is_finished {
            return None;
        }
        let next = tokio::select! {
            biased;
            () = self.connection.disconnected() => return None,
            next = pending_or_next(&mut self.pending, &mut self.events) => next,
        };
        match next {
            Ok(event) => Some(self.encode(event)),
            Err(error) => {
                self.is_finished = true;
                Some(self.encoder.encode_error(&error))
            }
        }
    }

    fn encode(&mut self, event: AnswerEvent) -> Bytes {
        if matches!(event.payload, AnswerPayload::End(_)) {
            self.is_finished = true;
            self.connection.end_answer();
        }
        self.encoder.encode(event.payload)
    }
}

async fn pending_or_next(
    pending: &mut Option<AnswerEvent>,
    events: &mut AnswerStream,
) -> Result<AnswerEvent, GatewayError> {
    match pending.take() {
        Some(event) => Ok(event),
        None => next_event(events).await,
    }
}
