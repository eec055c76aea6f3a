//! The bodies of answers to clients.

use std::pin::Pin;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;

use super::answer_memory::AnswerMemory;
use super::UpstreamError;

/// The body of an answer; an error in it aborts the connection, so that the client does not take
/// the answer for complete.
pub type EdgeBody = Pin<Box<dyn Body<Data = Bytes, Error = UpstreamError>>>;

/// Creates a body of bytes that are already complete.
pub(super) fn whole(bytes: impl Into<Bytes>) -> EdgeBody {
    Box::pin(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// Creates the body of an answer that is complete; its memory is released when the last byte was written.
///
/// `hyper` takes the whole body at once and drops it, but keeps the bytes until they are written.
pub(super) fn whole_answer(bytes: Bytes, memory: AnswerMemory) -> EdgeBody {
    whole(Bytes::from_owner(HeldBytes {
        bytes,
        _memory: memory,
    }))
}

/// The bytes of an answer and the memory that they hold.
struct HeldBytes {
    bytes: Bytes,
    _memory: AnswerMemory,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
