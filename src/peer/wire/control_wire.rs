//! Control messages on the wire.

use crate::catalog::Catalog;
use crate::peer::generated::peer_capnp::control_message;
use crate::peer::PeerMessage;
use crate::peer::WireError;

/// Writes a control message.
///
/// # Errors
///
/// Returns [`WireError::UnknownName`] if an object of the message has left the catalog.
pub fn write_control(
    message: &PeerMessage,
    _catalog: &Catalog,
    _builder: control_message::Builder<'_>,
) -> Result<(), WireError> {
    match message {
        PeerMessage::Membership(message) => match *message {},
        PeerMessage::Configuration(message) => match *message {},
        PeerMessage::Limits(message) => match *message {},
        PeerMessage::Idempotency(message) => match *message {},
    }
}

/// Reads a control message.
///
/// # Errors
///
/// Returns a [`WireError`] if the message is malformed or names an object that is unknown here.
pub fn read_control(
    reader: control_message::Reader<'_>,
    _catalog: &Catalog,
) -> Result<PeerMessage, WireError> {
    reader.which()?;
    Err(WireError::OutOfRange { field: "message" })
}
