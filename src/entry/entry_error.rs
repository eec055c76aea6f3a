//! Why the daemon did not start.

use std::net::SocketAddr;

use thiserror::Error;

use crate::platform::SettingsError;

/// Why the daemon of an entry VM did not start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A port cannot be served.
    #[error("{address} cannot be served: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        source: std::io::Error,
    },
    /// The runtime or a signal handler could not be set up.
    #[error("the runtime cannot be set up: {0}")]
    Runtime(#[from] std::io::Error),
}
