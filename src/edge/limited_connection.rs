//! Bounds what a client sends before the head of a request is complete.

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

use super::accepted_connections::AcceptedConnection;
use super::accepted_connections::CloseReason;
use super::client_connection::ClientConnection;
use super::request_progress::head_max_bytes;
use crate::deployment::ClientLimits;
use crate::entry::EntryState;

/// The smallest buffer for what is read from a connection, and for what is written to it.
const BUFFER_MIN_BYTES: usize = 32 * 1024;

const TOO_LONG_ANSWER: &[u8] =
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// A client sent more bytes than the limit without completing the head of a request.
#[derive(Debug, Error)]
#[error("the head of the request is over the limit")]
struct HeadTooLong;

/// Returns the length of the buffer in which a head of the longest allowed length fits.
pub(super) fn buffer_bytes(limits: ClientLimits) -> usize {
    head_max_bytes(limits.header_max_bytes).max(BUFFER_MIN_BYTES)
}

/// Returns the limits in force.
pub(super) fn limits_in_force(state: &EntryState) -> ClientLimits {
    let belief = state.belief.borrow();
    let deployment = belief.deployment();
    deployment.map_or_else(ClientLimits::default, |deployment| deployment.limits())
}

/// A connection whose reads fail once the head of a request is over the limit in force.
pub(super) struct LimitedConnection {
    client: ClientConnection,
    accepted: Rc<AcceptedConnection>,
    state: Rc<EntryState>,
    buffer_bytes: usize,
}

impl LimitedConnection {
    pub(super) fn new(
        client: ClientConnection,
        accepted: Rc<AcceptedConnection>,
        state: Rc<EntryState>,
        buffer_bytes: usize,
    ) -> Self {
        Self {
            client,
            accepted,
            state,
            buffer_bytes,
        }
    }

    fn refuse(&mut self, cx: &mut Context<'_>) -> io::Error {
        if self.accepted.progress().unread_bytes() == 0 {
            // The connection is closed in any case.
            let _ = Pin::new(&mut self.client).poll_write(cx, TOO_LONG_ANSWER);
        }
        self.state
            .on_connections_closed(CloseReason::HeadTooLong, 1);
        io::Error::new(io::ErrorKind::InvalidData, HeadTooLong)
    }

    fn on_write(&self, length_bytes: usize, written: &Poll<io::Result<usize>>) {
        let is_written = matches!(written, Poll::Ready(Ok(count)) if *count == length_bytes);
        // The buffer of the answers, and that of the requests behind them.
        let unread_bytes = match is_written {
            true => 0,
            false => self.buffer_bytes * 2,
        };
        let has_read = matches!(written, Poll::Ready(Ok(count)) if *count > 0);
        let now = self.state.now();
        let closed = self
            .accepted
            .update(|progress| progress.set_unread(now, unread_bytes, has_read));
        self.state
            .on_connections_closed(CloseReason::Memory, closed);
    }
}

impl AsyncRead for LimitedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let header_max_bytes = limits_in_force(&self.state).header_max_bytes;
        if self.accepted.progress().is_over(header_max_bytes) {
            return Poll::Ready(Err(self.refuse(cx)));
        }
        if self.accepted.is_closing() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        if self.accepted.has_to_wait() {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled_bytes = buf.filled().len();
        ready!(Pin::new(&mut self.client).poll_read(cx, buf))?;
        let read_bytes = buf.filled().len() - filled_bytes;
        let now = self.state.now();
        let closed = self
            .accepted
            .update(|progress| progress.on_read(now, read_bytes));
        self.state
            .on_connections_closed(CloseReason::Memory, closed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.client).poll_write(cx, buf);
        self.on_write(buf.len(), &written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.client).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.client).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.client).poll_write_vectored(cx, bufs);
        let length_bytes = bufs.iter().map(|buf| buf.len()).sum();
        self.on_write(length_bytes, &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.client.is_write_vectored()
    }
}
