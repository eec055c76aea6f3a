//! Fails answers that end before their request was written.

use std::io;
use std::task::Poll;

use thiserror::Error;

/// The peer closed its side of the connection while a part of the request was not written yet.
#[derive(Debug, Error)]
#[error("the answer ended before the whole request was written")]
pub(super) struct EndedEarly;

/// Whether a part of what was to be written on a connection is left.
///
/// The HTTP client takes an answer without a length for whole at the end of the connection, also while it writes
/// the request.
#[derive(Debug, Default)]
pub(super) struct UnwrittenRequest {
    is_left: bool,
}

impl UnwrittenRequest {
    /// Records a write of a number of bytes.
    pub(super) fn on_write(&mut self, length: usize, written: &Poll<io::Result<usize>>) {
        let written = match written {
            Poll::Ready(Ok(written)) => *written,
            Poll::Ready(Err(_)) | Poll::Pending => 0,
        };
        self.is_left = written < length;
    }

    /// Checks that the peer may close its side of the connection now.
    ///
    /// # Errors
    ///
    /// Returns an error if a part of the request is left.
    pub(super) fn check_end(&self) -> io::Result<()> {
        match self.is_left {
            true => Err(io::Error::new(io::ErrorKind::UnexpectedEof, EndedEarly)),
            false => Ok(()),
        }
    }
}
