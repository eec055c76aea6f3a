//! Why a daemon failed to start.

use std::io;

use thiserror::Error;

use crate::caller::LaunchError;
use crate::operator::OperatorServerError;
use crate::peer::PeerSecretError;
use crate::publication::PlatformError;
use crate::settings::SettingsError;

/// Why a daemon failed to start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The peer secret is invalid.
    #[error(transparent)]
    Secret(#[from] PeerSecretError),
    /// The client of the platform could not be created.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The signal handlers could not be installed.
    #[error("cannot install signal handlers: {0}")]
    Signal(io::Error),
    /// The port for other VMs could not be served.
    #[error("the port for other VMs cannot be served: {0}")]
    Peer(io::Error),
    /// The port for callers could not be served.
    #[error("the port for callers cannot be served: {0}")]
    Caller(#[from] LaunchError),
    /// The port for operators could not be served.
    #[error(transparent)]
    Operator(#[from] OperatorServerError),
}
