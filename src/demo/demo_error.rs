//! Why a demo does not run.

use std::net::SocketAddr;

use thiserror::Error;

use crate::caller::LaunchError;
use crate::catalog::NameError;
use crate::peer::PeerSecretError;
use crate::publication::PlatformError;
use crate::stand_in::platform::PlatformStandInError;
use crate::vm::DaemonError;

/// Why a demo does not run.
#[derive(Debug, Error)]
pub enum DemoError {
    /// The stand-in of the platform did not start.
    #[error(transparent)]
    Platform(#[from] PlatformStandInError),
    /// The client of the platform could not be set up.
    #[error(transparent)]
    PlatformClient(#[from] PlatformError),
    /// A stand-in of an endpoint did not start.
    #[error(transparent)]
    Endpoint(#[from] LaunchError),
    /// A daemon did not start.
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    /// A name of the plan is not valid.
    #[error(transparent)]
    Name(#[from] NameError),
    /// The peer secret is not valid.
    #[error(transparent)]
    Secret(#[from] PeerSecretError),
    /// The HTTP client of the load could not be set up.
    #[error("the HTTP client could not be set up: {0}")]
    Client(#[from] reqwest::Error),
    /// A VM did not become ready in time.
    #[error("the VM at {address} was not ready in time, it lacks {missing}")]
    NotReady {
        /// What it lacks.
        missing: &'static str,
        /// Its address for callers.
        address: SocketAddr,
    },
}
