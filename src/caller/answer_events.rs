//! Reads the events of an answer.

use futures::StreamExt;

use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::request::AnswerEvent;
use crate::request::AnswerPayload;
use crate::request::AnswerStream;

/// Returns the next event.
///
/// # Errors
///
/// Returns the error that ended the answer, or [`ErrorKind::AnswerTruncated`] if the stream ended
/// without an end mark.
pub(super) async fn next_event(events: &mut AnswerStream) -> Result<AnswerEvent, GatewayError> {
    events.next().await.unwrap_or_else(|| {
        Err(GatewayError::new(
            ErrorKind::AnswerTruncated,
            "the answer ended without its end mark",
        ))
    })
}

/// Returns the next event that is not a keep-alive.
///
/// # Errors
///
/// Returns the error that ended the answer, or [`ErrorKind::AnswerTruncated`] if the stream ended
/// without an end mark.
pub(super) async fn next_content(events: &mut AnswerStream) -> Result<AnswerEvent, GatewayError> {
    loop {
        let event = next_event(events).await?;
        if event.payload != AnswerPayload::KeepAlive {
            return Ok(event);
        }
    }
}
