//! The error of an exchange with an endpoint or another VM.

use std::error::Error;
use std::io;
use std::time::Duration;

use http::StatusCode;
use thiserror::Error as ThisError;

use super::head_limit::HeadTooLong;

/// Why an exchange with an endpoint or another VM failed.
#[derive(Debug, ThisError)]
pub enum UpstreamError {
    /// No connection could be made; nothing was sent.
    #[error("connecting failed: {0}")]
    Connect(#[source] io::Error),
    /// Connecting timed out; nothing was sent.
    #[error("connecting timed out after {0:?}")]
    ConnectTimeout(Duration),
    /// The connection was closed before anything was sent.
    #[error("the connection was closed before the request was sent")]
    NotSent,
    /// The connection took nothing of the request in time; nothing of it will be sent.
    #[error("nothing of the request could be sent in time")]
    NotSentInTime,
    /// The client left, or the deadline passed, before anything was sent.
    #[error("the client left or the deadline passed before the request was sent")]
    NotWanted,
    /// The connection broke after something may have been sent.
    #[error("the connection broke: {0}")]
    Broken(#[source] hyper::Error),
    /// No data arrived in time.
    #[error("no data received within {0:?}")]
    Timeout(Duration),
    /// The deadline of the request passed.
    #[error("the deadline passed")]
    DeadlinePassed,
    /// The answer belongs to another request, is not signed, is encoded, or has a status that is none of an answer.
    #[error("the answer is not verifiably the endpoint's answer to this request")]
    Unverified,
    /// The answer may be of another software version than the one that began the stream.
    #[error("the answer may be of another software version than the one that began the stream")]
    OtherVersion,
    /// The endpoint ran the request and answered with a status that clients take to mean that it did not.
    #[error("the request ran and was answered with {0}, which would mean that it did not run")]
    FalseRefusal(StatusCode),
    /// The answer is longer than the limit for buffered answers, in bytes.
    #[error("the answer is longer than {0} bytes")]
    TooLong(usize),
    /// The answers that have arrived in part take all memory that they may have.
    #[error("no memory is left for answers")]
    NoMemory,
    /// The stream ended in the middle of an event.
    #[error("the stream ended in the middle of an event")]
    Truncated,
    /// The connection of a stream without length was closed before an event arrived.
    #[error("the connection was closed before an event of the stream arrived")]
    NoEvent,
    /// What another VM sent could not be read or decompressed, or is too long.
    #[error("the body sent by the VM could not be read: {0}")]
    PeerBody(#[source] Box<dyn Error + Send + Sync>),
    /// Another VM answered a fetch with an error status.
    #[error("the VM answered with status {0}")]
    PeerStatus(u16),
}

impl UpstreamError {
    /// Returns whether the endpoint ended an answer before it was whole, rather than being silent.
    pub fn is_broken_off(&self) -> bool {
        match self {
            Self::Truncated | Self::NoEvent => true,
            Self::Broken(error) => !is_io_timeout(error) && !is_too_long(error),
            _ => false,
        }
    }

    /// Returns whether no process listens at the address.
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, Self::Connect(error) if error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns whether nothing arrived in time, although the endpoint or VM may be sound.
    pub const fn is_silence(&self) -> bool {
        matches!(self, Self::Timeout(_) | Self::DeadlinePassed)
    }

    /// Returns whether certainly no part of the request was sent.
    pub const fn is_not_sent(&self) -> bool {
        matches!(
            self,
            Self::Connect(_)
                | Self::ConnectTimeout(_)
                | Self::NotSent
                | Self::NotSentInTime
                | Self::NotWanted
        )
    }
}

/// Returns whether the peer closed or reset the connection, rather than writing bytes that belong to no answer.
pub(super) fn is_cut(error: &hyper::Error) -> bool {
    error.is_incomplete_message() || io_error(error).is_some()
}

/// Returns whether a connection failed because the kernel got no sign of life from its peer.
fn is_io_timeout(error: &hyper::Error) -> bool {
    io_error(error).is_some_and(|error| error.kind() == io::ErrorKind::TimedOut)
}

/// Returns whether the endpoint sent more bytes than the head of an answer may have.
fn is_too_long(error: &hyper::Error) -> bool {
    let source = io_error(error).and_then(io::Error::get_ref);
    error.is_parse_too_large() || source.is_some_and(|source| source.is::<HeadTooLong>())
}

fn io_error(error: &hyper::Error) -> Option<&io::Error> {
    let mut source = error.source();
    while let Some(error) = source {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            return Some(error);
        }
        source = error.source();
    }
    None
}
