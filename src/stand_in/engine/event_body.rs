//! The encoding of answer events by the stand-in engine.

use bytes::Bytes;

use crate::endpoint::EngineEventWire;
use crate::endpoint::DONE_DATA;
use crate::endpoint::KEEP_ALIVE_EVENT;
use crate::request::AnswerEvent;
use crate::request::AnswerPayload;

/// Encodes an event as a server-sent event of the engine's protocol.
pub(super) fn encode(event: AnswerEvent) -> Bytes {
    let name = match event.payload {
        AnswerPayload::KeepAlive => format!("event: {KEEP_ALIVE_EVENT}\n"),
        _ => String::new(),
    };
    let end = match event.payload {
        AnswerPayload::End(_) => format!("data: {DONE_DATA}\n\n"),
        _ => String::new(),
    };
    let json =
        serde_json::to_string(&EngineEventWire::from(event)).expect("wire types are valid JSON");
    Bytes::from(format!("{name}data: {json}\n\n{end}"))
}
