//! The bodies of answers to clients.

use std::pin::Pin;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;

use super::UpstreamError;

/// The body of an answer; an error in it aborts the connection, so that the client does not take
/// the answer for complete.
pub type EdgeBody = Pin<Box<dyn Body<Data = Bytes, Error = UpstreamError>>>;

/// Creates a body of bytes that are already complete.
pub(super) fn whole(bytes: impl Into<Bytes>) -> EdgeBody {
    Box::pin(Full::new(bytes.into()).map_err(|never| match never {}))
}
