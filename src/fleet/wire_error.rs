//! Errors of decoding a datagram.

use thiserror::Error;

/// An error of decoding a datagram of another VM.
#[derive(Debug, Error)]
pub enum FleetWireError {
    /// The bytes do not follow the schema.
    #[error("the datagram is malformed: {0}")]
    Malformed(#[from] capnp::Error),
    /// A field has an enum value that this version does not know.
    #[error("the datagram has an unknown enum value: {0}")]
    UnknownValue(#[from] capnp::NotInSchema),
    /// A string is not a valid name.
    #[error("the datagram has an invalid name: {0}")]
    BadName(#[from] crate::catalog::NameError),
    /// A string is not UTF-8.
    #[error("the datagram has a string that is not UTF-8: {0}")]
    BadText(#[from] std::str::Utf8Error),
    /// The datagram has no rows; the first one must be the sender's.
    #[error("the datagram has no row of its sender")]
    NoSender,
}
