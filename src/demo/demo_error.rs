//! Errors of the demo.

use std::net::SocketAddr;

use thiserror::Error;

use crate::caller::LaunchError;
use crate::catalog::NameError;
use crate::peer::PeerSecretError;
use crate::publication::PlatformError;
use crate::stand_in::platform::PlatformStandInError;
use crate::vm::DaemonError;

/// Why a demo failed.
#[derive(Debug, Error)]
pub enum DemoError {
    /// The platform stand-in did not start.
    #[error(transparent)]
    Platform(#[from] PlatformStandInError),
    /// The platform client could not be created.
    #[error(transparent)]
    PlatformClient(#[from] PlatformError),
    /// An endpoint stand-in did not start.
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
    /// The HTTP client of the load could not be created.
    #[error("the HTTP client could not be created: {0}")]
    Client(#[from] reqwest::Error),
    /// A VM did not become ready in time.
    #[error("the VM at {address} was not ready in time, still missing: {missing}")]
    NotReady {
        /// The first condition that is not met.
        missing: &'static str,
        /// Its address for callers.
        address: SocketAddr,
    },
}
