//! Answers of plain services.

use bytes::Bytes;

use super::answer_events::next_content;
use super::caller_answer::CallerAnswer;
use crate::endpoint::HeldBytes;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::request::AnswerPayload;
use crate::request::AnswerStream;
use crate::request::RequestId;

/// Reads all events of a plain service's answer and creates an answer with a complete body.
///
/// # Errors
///
/// Returns the error that ended the answer early, or [`ErrorKind::EndpointFailed`] if its body is too
/// long, no memory is left for it or it has no head.
pub(super) async fn collect(
    id: RequestId,
    mut events: AnswerStream,
    held: &HeldBytes,
) -> Result<CallerAnswer, GatewayError> {
    let mut head = None;
    let mut body = Vec::new();
    loop {
        match next_content(&mut events).await?.payload {
            AnswerPayload::Head {
                status,
                content_type,
            } => head = Some((status, content_type)),
            AnswerPayload::Chunk(bytes) => {
                held.add(bytes.len())?;
                body.extend_from_slice(&bytes);
            }
            AnswerPayload::End(_) => break,
            AnswerPayload::KeepAlive => {}
        }
    }
    let (status, content_type) = head.ok_or_else(|| {
        GatewayError::new(
            ErrorKind::EndpointFailed,
            "the answer of the endpoint has no head",
        )
    })?;
    Ok(CallerAnswer::buffered(
        id,
        status,
        content_type,
        Bytes::from(body),
    ))
}
