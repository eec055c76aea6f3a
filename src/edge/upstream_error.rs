//! Why an exchange with an endpoint or another VM failed.

use std::time::Duration;

use thiserror::Error;

/// Why an exchange with an endpoint or another VM failed.
#[derive(Debug, Error)]
pub enum UpstreamError {
    /// No connection could be made; nothing was sent.
    #[error("no connection: {0}")]
    Connect(#[source] std::io::Error),
    /// No connection could be made in time; nothing was sent.
    #[error("no connection within {0:?}")]
    ConnectTimeout(Duration),
    /// The connection was closed before anything was sent.
    #[error("the connection was closed before the request was sent")]
    NotSent,
    /// The connection broke after something may have been sent.
    #[error("the connection broke: {0}")]
    Broken(#[source] hyper::Error),
    /// Nothing came in time.
    #[error("nothing came within {0:?}")]
    Timeout(Duration),
    /// The time of the request is over.
    #[error("the deadline passed")]
    DeadlinePassed,
    /// The answer belongs to another request, or is not signed.
    #[error("the answer is not the endpoint's answer to this request")]
    Unverified,
    /// The answer is larger than the gateway takes.
    #[error("the answer is longer than {0} bytes")]
    TooLong(usize),
    /// The stream ended within an event.
    #[error("the stream ended within an event")]
    Truncated,
    /// Another VM gave no configuration.
    #[error("the VM answered with status {0}")]
    PeerStatus(u16),
}

impl UpstreamError {
    /// Returns whether nothing of the request can have left the VM.
    pub const fn is_not_sent(&self) -> bool {
        matches!(
            self,
            Self::Connect(_) | Self::ConnectTimeout(_) | Self::NotSent
        )
    }
}
