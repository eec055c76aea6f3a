//! A request that crashes each endpoint that runs it.

use bytes::Bytes;

/// A request that crashes each endpoint that runs it, however often it comes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashingRequest {
    /// The path and query.
    pub path: String,
    /// The body.
    pub body: Bytes,
}

/// How far an answer gets before the endpoint crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CrashPoint {
    /// Before the head.
    Head,
    /// After the head; of a stream before its first event, of a plain answer within its body.
    Body,
    /// After the first event of a stream.
    FirstEvent,
}

impl CrashPoint {
    /// The points of a stream.
    pub(super) const OF_STREAMS: [Self; 3] = [Self::Head, Self::Body, Self::FirstEvent];

    /// The points of a plain answer.
    pub(super) const OF_PLAIN_ANSWERS: [Self; 2] = [Self::Head, Self::Body];
}
