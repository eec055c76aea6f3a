//! Bounds the bytes that an endpoint sends before the head of its answer is complete.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use thiserror::Error;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use super::peer_close::is_closed_by_peer;
use super::send_gate::SendGate;
use super::unwritten_request::UnwrittenRequest;
use crate::telemetry::CountedStream;

/// The most bytes before the body of an answer: its head, and informational heads before it.
pub(super) const HEAD_MAX_BYTES: usize = 64 * 1024;

/// An endpoint sent more than [`HEAD_MAX_BYTES`] without completing the head of an answer.
#[derive(Debug, Error)]
#[error("the head of the answer is longer than {HEAD_MAX_BYTES} bytes")]
pub(super) struct HeadTooLong;

/// The limit of one connection; clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadLimit {
    /// `None` while no head is awaited.
    left_bytes: Rc<Cell<Option<usize>>>,
}

impl HeadLimit {
    /// Starts counting, as a request is about to be sent.
    pub(super) fn start(&self) {
        self.left_bytes.set(Some(HEAD_MAX_BYTES));
    }

    /// Stops counting, as the head has arrived.
    pub(super) fn lift(&self) {
        self.left_bytes.set(None);
    }

    fn is_reached(&self) -> bool {
        self.left_bytes.get() == Some(0)
    }

    fn on_read(&self, bytes: usize) {
        let left_bytes = self.left_bytes.get();
        self.left_bytes
            .set(left_bytes.map(|left_bytes| left_bytes.saturating_sub(bytes)));
    }
}

/// A connection whose reads fail once the limit is reached, or if it ends before the request was written.
///
/// The HTTP client skips informational heads without bound, and reads on as long as bytes arrive, so
/// that an endpoint that sends them without end would take all time of the thread.
#[derive(Debug)]
pub(super) struct HeadLimitedStream {
    stream: CountedStream<TcpStream>,
    limit: HeadLimit,
    gate: SendGate,
    unwritten: UnwrittenRequest,
}

impl HeadLimitedStream {
    pub(super) fn new(stream: CountedStream<TcpStream>, limit: HeadLimit, gate: SendGate) -> Self {
        Self {
            stream,
            limit,
            gate,
            unwritten: UnwrittenRequest::default(),
        }
    }

    /// Checks that the next bytes may be written.
    ///
    /// # Errors
    ///
    /// Returns an error if they are the first ones of a request that is not wanted any more, or whose peer has
    /// closed the connection: the kernel would take them nonetheless.
    fn check_write(&self) -> io::Result<()> {
        self.gate.on_write()?;
        match self.gate.is_unwritten() && is_closed_by_peer(self.stream.stream()) {
            true => Err(io::ErrorKind::ConnectionReset.into()),
            false => Ok(()),
        }
    }

    fn on_write(&mut self, length: usize, written: &Poll<io::Result<usize>>) {
        self.gate.on_written(written);
        self.unwritten.on_write(length, written);
    }
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_reached() {
            let error = io::Error::new(io::ErrorKind::InvalidData, HeadTooLong);
            return Poll::Ready(Err(error));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        if read == 0 && buf.remaining() > 0 {
            self.unwritten.check_end()?;
        }
        self.limit.on_read(read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_write()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.on_write(buf.len(), &written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_write()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        let length = bufs.iter().map(|buf| buf.len()).sum();
        self.on_write(length, &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
