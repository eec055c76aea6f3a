//! Why the daemon did not start.

use std::net::SocketAddr;

use thiserror::Error;

use crate::platform::SettingsError;

/// Why the daemon of an entry VM did not start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The settings are invalid or cannot be read.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A port cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address that cannot be bound.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The runtime or a signal handler could not be set up.
    #[error("cannot set up the runtime or a signal handler: {0}")]
    Runtime(#[from] std::io::Error),
}
