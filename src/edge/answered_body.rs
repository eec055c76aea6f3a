//! Notes when the answer on a client's connection has ended.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::accepted_connections::AcceptedConnection;
use super::EdgeBody;
use super::UpstreamError;

/// The body of an answer; once it is dropped, its connection waits for the next request.
pub(super) struct AnsweredBody {
    body: EdgeBody,
    accepted: Rc<AcceptedConnection>,
}

impl AnsweredBody {
    pub(super) fn new(body: EdgeBody, accepted: Rc<AcceptedConnection>) -> Self {
        Self { body, accepted }
    }
}

impl Body for AnsweredBody {
    type Data = Bytes;
    type Error = UpstreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, UpstreamError>>> {
        self.body.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for AnsweredBody {
    fn drop(&mut self) {
        self.accepted.update(|progress| progress.on_answered());
    }
}
