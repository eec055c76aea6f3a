//! The body of a streamed answer.

use std::io;
use std::pin::Pin;

use bytes::Bytes;
use futures::stream;
use futures::Stream;
use futures::StreamExt;
use tokio::io::AsyncRead;
use tokio_util::io::StreamReader;

use super::sse_encoder::SseEncoder;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::request::AnswerEvent;
use crate::request::AnswerPayload;
use crate::request::AnswerStream;

/// The body of a streamed answer.
pub(super) struct AnswerBody {
    pending: Option<AnswerEvent>,
    events: AnswerStream,
    encoder: SseEncoder,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Ended,
    Failed,
}

impl AnswerBody {
    /// Creates the body of the answer that starts with `first`.
    pub(super) fn new(first: AnswerEvent, events: AnswerStream, encoder: SseEncoder) -> Self {
        Self {
            pending: Some(first),
            events,
            encoder,
            state: State::Open,
        }
    }

    /// Returns a reader of the encoded events.
    pub(super) fn into_reader(self) -> impl AsyncRead + Send {
        StreamReader::new(self.into_byte_stream())
    }

    fn into_byte_stream(self) -> Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>> {
        Box::pin(stream::unfold(self, |mut body| async move {
            let bytes = body.next_bytes().await?;
            Some((bytes, body))
        }))
    }

    async fn next_bytes(&mut self) -> Option<io::Result<Bytes>> {
        match self.state {
            State::Open => Some(Ok(self.next_event().await)),
            State::Ended => None,
            State::Failed => Some(Err(io::ErrorKind::UnexpectedEof.into())),
        }
    }

    async fn next_event(&mut self) -> Bytes {
        let next = match self.pending.take() {
            Some(event) => Some(Ok(event)),
            None => self.events.next().await,
        };
        match next {
            Some(Ok(event)) => {
                if matches!(event.payload, AnswerPayload::End(_)) {
                    self.state = State::Ended;
                }
                self.encoder.encode(event.payload)
            }
            Some(Err(error)) => self.fail(&error),
            None => self.fail(&truncated()),
        }
    }

    fn fail(&mut self, error: &GatewayError) -> Bytes {
        self.state = State::Failed;
        self.encoder.encode_error(error)
    }
}

fn truncated() -> GatewayError {
    GatewayError::new(
        ErrorKind::AnswerTruncated,
        "the answer ended without its end mark",
    )
}
