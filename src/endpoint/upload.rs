//! The body of a call to a plain service, as it is sent.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

const PIECE_MAX_BYTES: usize = 64 * 1024;

/// Whether the HTTP client has taken the last piece of an upload; clones share it.
///
/// The client takes a piece when it has room for it, so that some hundred kilobytes are not written yet then.
#[derive(Clone, Debug)]
pub(super) struct UploadProgress {
    is_taken: Arc<AtomicBool>,
}

impl UploadProgress {
    /// Returns whether the last piece was taken.
    pub(super) fn is_taken(&self) -> bool {
        self.is_taken.load(Ordering::Acquire)
    }
}

/// A body that is sent in pieces.
#[derive(Debug)]
pub(super) struct Upload {
    rest: Bytes,
    progress: UploadProgress,
}

impl Upload {
    /// Creates the body, and the record of its progress.
    pub(super) fn new(body: Bytes) -> (Self, UploadProgress) {
        let progress = UploadProgress {
            is_taken: Arc::new(AtomicBool::new(body.is_empty())),
        };
        let upload = Self {
            rest: body,
            progress: progress.clone(),
        };
        (upload, progress)
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(PIECE_MAX_BYTES);
        let piece = self.rest.split_to(length);
        if self.rest.is_empty() {
            self.progress.is_taken.store(true, Ordering::Release);
        }
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
