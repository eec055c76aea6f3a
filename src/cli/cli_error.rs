//! Why a subcommand failed.

use std::net::SocketAddr;

use thiserror::Error;

use crate::caller::LaunchError;
use crate::demo::DemoError;
use crate::settings::SettingsError;
use crate::stand_in::platform::PlatformStandInError;
use crate::vm::DaemonError;

/// Why a subcommand failed; [`CliError::exit_code`] maps each kind to an exit code.
#[derive(Debug, Error)]
pub enum CliError {
    /// Some checked files are not accepted; the problems were printed.
    #[error("{refused_count} of {file_count} files are not accepted")]
    CheckFailed {
        /// The number of files that are not accepted.
        refused_count: usize,
        /// The number of files.
        file_count: usize,
    },
    /// A call of the demo failed or a booking did not run exactly once; the table was printed.
    #[error("demo calls failed or bookings did not run exactly once")]
    DemoFailed,
    /// The VM did not answer.
    #[error("the VM at {vm} did not answer: {reason}")]
    NoAnswer {
        /// The operators' address of the VM.
        vm: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The identifier of a request is malformed.
    #[error("expected a request identifier of 32 hexadecimal digits, got {request:?}")]
    MalformedRequestId {
        /// The given identifier.
        request: String,
    },
    /// The VM does not know the request.
    #[error("no VM knows the request {request}")]
    UnknownRequest {
        /// The identifier of the request.
        request: String,
    },
    /// The settings are not accepted.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The platform stand-in did not start.
    #[error(transparent)]
    StandIn(#[from] PlatformStandInError),
    /// The program could not start, or a part of it failed.
    #[error("{0}")]
    Failed(String),
    /// A daemon did not start.
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    /// The demo did not start.
    #[error(transparent)]
    Demo(#[from] DemoError),
    /// An endpoint stand-in did not start.
    #[error(transparent)]
    StandInEndpoint(#[from] LaunchError),
    /// The faults for a stand-in are not accepted.
    #[error("--faults: {0}")]
    Faults(serde_json::Error),
}

impl CliError {
    /// Returns the exit code that the help text documents.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::CheckFailed { .. } | Self::DemoFailed => 1,
            Self::NoAnswer { .. } => 3,
            Self::UnknownRequest { .. } => 4,
            Self::Faults(_) | Self::MalformedRequestId { .. } => 2,
            Self::Settings(_)
            | Self::StandIn(_)
            | Self::StandInEndpoint(_)
            | Self::Daemon(_)
            | Self::Demo(_)
            | Self::Failed(_) => 5,
        }
    }
}
