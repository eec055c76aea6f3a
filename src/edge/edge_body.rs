//! The bodies of answers to clients.

use std::pin::Pin;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;

use super::UpstreamError;

/// The body of an answer; an error in it breaks the connection off, so that the answer does not
/// look complete.
pub type EdgeBody = Pin<Box<dyn Body<Data = Bytes, Error = UpstreamError>>>;

/// Makes a body of bytes that are all there.
pub(super) fn whole(bytes: impl Into<Bytes>) -> EdgeBody {
    Box::pin(Full::new(bytes.into()).map_err(|never| match never {}))
}
