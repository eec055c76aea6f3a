//! Why a datagram was not understood.

use thiserror::Error;

/// Why a datagram of another VM was not understood.
#[derive(Debug, Error)]
pub enum FleetWireError {
    /// The bytes are no message of the schema.
    #[error("the datagram does not parse: {0}")]
    Malformed(#[from] capnp::Error),
    /// An enumeration has a value that is not known here.
    #[error("the datagram has an unknown value: {0}")]
    UnknownValue(#[from] capnp::NotInSchema),
    /// A text is no name.
    #[error("the datagram has a bad name: {0}")]
    BadName(#[from] crate::catalog::NameError),
    /// A text is not UTF-8.
    #[error("the datagram has a bad text: {0}")]
    BadText(#[from] std::str::Utf8Error),
    /// The sender's own row is missing.
    #[error("the datagram has no row of its sender")]
    NoSender,
}
