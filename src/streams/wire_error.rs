//! Errors of decoding a message about streams.

use thiserror::Error;

/// An error of decoding another VM's message about streams.
#[derive(Debug, Error)]
pub enum StreamWireError {
    /// The bytes do not follow the schema.
    #[error("the message is malformed: {0}")]
    Malformed(#[from] capnp::Error),
    /// The message names more streams than one datagram of a VM does.
    #[error("the message names {0} streams")]
    TooMany(u32),
}
