//! Why a message of a peer could not be read or written.

use thiserror::Error;

/// Why a message of a peer could not be read or written.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// The bytes are not a valid message of the schema.
    #[error("the message is malformed: {reason}")]
    Malformed {
        /// The error of the decoder.
        reason: String,
    },
    /// The value of a field is not allowed.
    #[error("the field {field} is out of range")]
    OutOfRange {
        /// The name of the field.
        field: &'static str,
    },
    /// The message names an object that is not in the catalog.
    #[error("the {object} {name:?} is not in the catalog of this VM")]
    UnknownName {
        /// The kind of the object.
        object: &'static str,
        /// The name; empty if an object of a call to send is no longer in the catalog.
        name: String,
    },
}

impl From<capnp::Error> for WireError {
    fn from(error: capnp::Error) -> Self {
        Self::Malformed {
            reason: error.to_string(),
        }
    }
}

impl From<capnp::NotInSchema> for WireError {
    fn from(error: capnp::NotInSchema) -> Self {
        Self::Malformed {
            reason: error.to_string(),
        }
    }
}

impl From<std::str::Utf8Error> for WireError {
    fn from(error: std::str::Utf8Error) -> Self {
        Self::Malformed {
            reason: error.to_string(),
        }
    }
}
