//! Why settings are refused.

use thiserror::Error;

use crate::peer::PeerSecretError;

/// Why settings are refused.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{file}: {reason}")]
    Unreadable {
        /// The file.
        file: String,
        /// The error of the operating system.
        reason: String,
    },
    /// A field has an invalid value.
    #[error("{file}:{line}: {field}: {problem}")]
    Field {
        /// The file.
        file: String,
        /// The line, counted from 1.
        line: usize,
        /// The path of the field.
        field: String,
        /// What was expected, and what was found.
        problem: String,
    },
    /// The peer secret is invalid.
    #[error("{file}: {reason}")]
    InvalidSecret {
        /// The file.
        file: String,
        /// Why the secret is invalid.
        reason: PeerSecretError,
    },
}
