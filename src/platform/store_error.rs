//! Why a call to the store gave nothing.

use thiserror::Error;

/// The reason why a call to the platform's store gave nothing.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No connection could be made.
    #[error("no connection to the store: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection broke before the whole answer was there.
    #[error("the connection to the store broke: {0}")]
    Transport(#[from] hyper::Error),
    /// No whole answer came in time.
    #[error("the store gave no answer within {timeout_ms} ms")]
    Timeout {
        /// How long the call waited.
        timeout_ms: u64,
    },
    /// The store refused the call.
    #[error("the store answered with status {status}")]
    Refused {
        /// The status of the answer.
        status: u16,
    },
    /// The answer did not parse.
    #[error("the answer of the store does not parse: {0}")]
    Malformed(#[from] serde_json::Error),
}
