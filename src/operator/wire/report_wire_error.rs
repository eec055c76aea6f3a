//! Why the JSON report of another VM was rejected.

use thiserror::Error;

use crate::catalog::NameError;

/// Why the JSON report of another VM was rejected.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ReportWireError {
    /// A name is invalid.
    #[error("invalid name: {0}")]
    Name(#[from] NameError),
    /// An error code is unknown.
    #[error("unknown error code {0:?}")]
    UnknownKind(String),
    /// A state is unknown.
    #[error("unknown state {0:?}")]
    UnknownState(String),
    /// The statistics do not have one entry for each hour of the day.
    #[error("the statistics do not have exactly 24 hours")]
    HourCount,
    /// An account has more cancelled than accepted requests.
    #[error("an account has more cancelled than accepted requests")]
    Counts,
}
