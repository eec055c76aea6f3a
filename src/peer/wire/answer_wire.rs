//! Cap'n Proto encoding of the answers of forwarded calls.

use std::time::Duration;

use bytes::Bytes;

use super::text::as_us;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::errors::RunState;
use crate::peer::generated::call_capnp::answer_item;
use crate::peer::generated::call_capnp::failure;
use crate::peer::generated::call_capnp::usage;
use crate::peer::generated::call_capnp::RunState as WireRunState;
use crate::peer::WireError;
use crate::request::AnswerEvent;
use crate::request::AnswerPayload;
use crate::request::RequestId;
use crate::request::Usage;

/// One item of the stream that a forwarded call returns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerItem {
    /// The peer has accepted the call; the answer follows.
    Accepted,
    /// The call has not ended and has no new event; sent as a keep-alive.
    Waiting,
    /// An event of the answer.
    Event(AnswerEvent),
    /// The refusal or failure that ends the stream.
    Failure(GatewayError),
}

impl AnswerItem {
    /// Returns whether no item follows this one.
    pub fn is_last(&self) -> bool {
        match self {
            Self::Accepted | Self::Waiting => false,
            Self::Event(event) => matches!(event.payload, AnswerPayload::End(_)),
            Self::Failure(_) => true,
        }
    }

    /// Returns the size of the item's content in bytes; 0 for items other than chunks.
    pub fn content_bytes(&self) -> usize {
        match self {
            Self::Event(AnswerEvent {
                payload: AnswerPayload::Chunk(bytes),
                ..
            }) => bytes.len(),
            _ => 0,
        }
    }
}

/// Writes an item without its request identifier, which is written once for the batch.
pub fn write_item(item: &AnswerItem, mut builder: answer_item::Builder<'_>) {
    match item {
        AnswerItem::Accepted => builder.set_accepted(()),
        AnswerItem::Waiting => builder.set_waiting(()),
        AnswerItem::Failure(error) => write_failure(error, builder.init_failure()),
        AnswerItem::Event(event) => {
            builder.set_offset(event.offset);
            write_payload(&event.payload, builder);
        }
    }
}

/// Reads an item of the answer to `request_id`.
///
/// # Errors
///
/// Returns a [`WireError`] if the item is malformed.
pub fn read_item(
    request_id: RequestId,
    reader: answer_item::Reader<'_>,
) -> Result<AnswerItem, WireError> {
    let payload = match reader.which()? {
        answer_item::Accepted(()) => return Ok(AnswerItem::Accepted),
        answer_item::Waiting(()) => return Ok(AnswerItem::Waiting),
        answer_item::Failure(failure) => return Ok(AnswerItem::Failure(read_failure(failure?)?)),
        answer_item::Head(head) => {
            let head = head?;
            AnswerPayload::Head {
                status: head.get_status(),
                content_type: head.get_content_type()?.to_str()?.to_owned(),
            }
        }
        answer_item::Chunk(chunk) => AnswerPayload::Chunk(Bytes::copy_from_slice(chunk?)),
        answer_item::KeepAlive(()) => AnswerPayload::KeepAlive,
        answer_item::End(usage) => AnswerPayload::End(read_usage(usage?)),
    };
    Ok(AnswerItem::Event(AnswerEvent {
        request_id,
        offset: reader.get_offset(),
        payload,
    }))
}

fn write_payload(payload: &AnswerPayload, mut builder: answer_item::Builder<'_>) {
    match payload {
        AnswerPayload::Head {
            status,
            content_type,
        } => {
            let mut head = builder.init_head();
            head.set_status(*status);
            head.set_content_type(content_type);
        }
        AnswerPayload::Chunk(bytes) => builder.set_chunk(bytes),
        AnswerPayload::KeepAlive => builder.set_keep_alive(()),
        AnswerPayload::End(usage) => write_usage(*usage, builder.init_end()),
    }
}

fn write_usage(usage: Usage, mut builder: usage::Builder<'_>) {
    builder.set_prompt_tokens(usage.prompt_tokens);
    builder.set_cached_tokens(usage.cached_tokens);
    builder.set_answer_tokens(usage.answer_tokens);
}

fn read_usage(reader: usage::Reader<'_>) -> Usage {
    Usage {
        prompt_tokens: reader.get_prompt_tokens(),
        cached_tokens: reader.get_cached_tokens(),
        answer_tokens: reader.get_answer_tokens(),
    }
}

fn write_failure(error: &GatewayError, mut builder: failure::Builder<'_>) {
    builder.set_code(error.kind.answer().code);
    builder.set_message(&error.message);
    builder.set_run(match error.run {
        RunState::NotRun => WireRunState::NotRun,
        RunState::MayHaveRun => WireRunState::MayHaveRun,
        RunState::Ran => WireRunState::Ran,
    });
    builder.set_has_retry_after(error.retry_after.is_some());
    builder.set_retry_after_us(error.retry_after.map_or(0, as_us));
}

fn read_failure(reader: failure::Reader<'_>) -> Result<GatewayError, WireError> {
    let kind = ErrorKind::from_code(reader.get_code()?.to_str()?)
        .ok_or(WireError::OutOfRange { field: "code" })?;
    let retry_after = Duration::from_micros(reader.get_retry_after_us());
    Ok(GatewayError {
        kind,
        message: reader.get_message()?.to_str()?.to_owned(),
        run: match reader.get_run()? {
            WireRunState::NotRun => RunState::NotRun,
            WireRunState::MayHaveRun => RunState::MayHaveRun,
            WireRunState::Ran => RunState::Ran,
        },
        retry_after: reader.get_has_retry_after().then_some(retry_after),
    })
}
