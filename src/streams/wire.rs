//! Cap'n Proto encoding of the messages about streams.

use capnp::message::Builder;
use capnp::message::ReaderOptions;
use capnp::primitive_list;
use capnp::serialize_packed;

use super::OriginMessage;
use super::StreamKey;
use super::StreamOrigin;
use super::StreamWireError;
use crate::deployment::SoftwareVersion;
use crate::peer::generated::streams_capnp as schema;

/// The largest number of streams of each kind in a message.
const STREAMS_MAX: u32 = 1_024;

/// Encodes a message.
///
/// # Errors
///
/// Returns an error if Cap'n Proto cannot serialize it.
pub fn encode_origin_message(message: &OriginMessage) -> Result<Vec<u8>, StreamWireError> {
    let mut builder = Builder::new_default();
    let mut root: schema::origin_message::Builder<'_> = builder.init_root();
    let mut origins = root.reborrow().init_origins(length(message.origins.len())?);
    for (index, origin) in (0..).zip(&message.origins) {
        let mut entry = origins.reborrow().get(index);
        entry.set_stream(origin.stream.0);
        entry.set_version(origin.version.hash());
    }
    let questions = length(message.questions.len())?;
    encode_keys(
        root.reborrow().init_questions(questions),
        &message.questions,
    );
    let unknown = length(message.unknown.len())?;
    encode_keys(root.init_unknown(unknown), &message.unknown);
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, &builder)?;
    Ok(bytes)
}

fn encode_keys(mut to: primitive_list::Builder<'_, u64>, keys: &[StreamKey]) {
    for (index, key) in (0..).zip(keys) {
        to.set(index, key.0);
    }
}

fn length(count: usize) -> Result<u32, StreamWireError> {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    match count > STREAMS_MAX {
        true => Err(StreamWireError::TooMany(count)),
        false => Ok(count),
    }
}

/// Decodes a message; origins without a version are left out.
///
/// # Errors
///
/// Returns a [`StreamWireError`] if the bytes are not a valid message.
pub fn decode_origin_message(bytes: &[u8]) -> Result<OriginMessage, StreamWireError> {
    let reader = serialize_packed::read_message(bytes, ReaderOptions::new())?;
    let root: schema::origin_message::Reader<'_> = reader.get_root()?;
    let origins = root.get_origins()?;
    if origins.len() > STREAMS_MAX {
        return Err(StreamWireError::TooMany(origins.len()));
    }
    let origins = origins.iter().filter_map(|origin| {
        Some(StreamOrigin {
            stream: StreamKey(origin.get_stream()),
            version: SoftwareVersion::from_hash(origin.get_version())?,
        })
    });
    Ok(OriginMessage {
        origins: origins.collect(),
        questions: decode_keys(root.get_questions()?)?,
        unknown: decode_keys(root.get_unknown()?)?,
    })
}

fn decode_keys(from: primitive_list::Reader<'_, u64>) -> Result<Vec<StreamKey>, StreamWireError> {
    match from.len() > STREAMS_MAX {
        true => Err(StreamWireError::TooMany(from.len())),
        false => Ok(from.iter().map(StreamKey).collect()),
    }
}
