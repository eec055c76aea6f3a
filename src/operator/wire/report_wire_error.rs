//! Why the report of another VM could not be read.

use thiserror::Error;

use crate::catalog::NameError;

/// Why the report of another VM could not be read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ReportWireError {
    /// A name is not valid.
    #[error("a name is not valid: {0}")]
    Name(#[from] NameError),
    /// An error code is unknown.
    #[error("the error code {0:?} is unknown")]
    UnknownKind(String),
    /// A state is unknown.
    #[error("the state {0:?} is unknown")]
    UnknownState(String),
    /// There are more or fewer hours than a day has.
    #[error("a day has 24 hours")]
    HourCount,
    /// The counts contradict each other.
    #[error("the counts contradict each other")]
    Counts,
}
