//! Why a message of a peer could not be read.

use thiserror::Error;

/// Why a message of a peer could not be read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// The bytes are not a message of the schema.
    #[error("the message is malformed: {reason}")]
    Malformed {
        /// What the codec says.
        reason: String,
    },
    /// A field holds a value outside its range.
    #[error("the field {field} is out of range")]
    OutOfRange {
        /// The name of the field.
        field: &'static str,
    },
    /// The message names an object that this VM does not know.
    #[error("the {object} {name:?} is unknown here")]
    UnknownName {
        /// The kind of the object.
        object: &'static str,
        /// The name.
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
