//! Why a daemon does not start.

use std::io;

use thiserror::Error;

use crate::caller::LaunchError;
use crate::operator::OperatorServerError;
use crate::peer::PeerSecretError;
use crate::publication::PlatformError;
use crate::settings::SettingsError;

/// Why a daemon does not start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The settings or the peer secret are wrong.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The peer secret is wrong.
    #[error(transparent)]
    Secret(#[from] PeerSecretError),
    /// The client of the platform could not be set up.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The signals of the process could not be caught.
    #[error("signals cannot be caught: {0}")]
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
