//! Takes the control messages of one connection.

use std::sync::Arc;

use capnp::struct_list;

use super::connection::ConnectionEnd;
use super::generated::peer_capnp::control_message;
use super::wire::read_control;
use super::MessageKind;
use super::PeerContext;
use super::PeerFault;
use super::PeerHandler;
use super::WireError;
use crate::catalog::Name;

const WORD_BYTES: u64 = 8;

/// Takes the control messages of one connection.
pub(super) struct ControlReceiver {
    pub(super) context: Arc<PeerContext>,
    pub(super) handler: Arc<dyn PeerHandler>,
    /// The peer's name, as it has proved it.
    pub(super) from: Name,
    /// The end that this VM holds.
    pub(super) end: ConnectionEnd,
}

impl ControlReceiver {
    /// Takes each message that can be read; one that names an unknown object spoils no other.
    ///
    /// # Errors
    ///
    /// Returns a [`WireError`] if a message is malformed or the peer has left the roster.
    pub(super) fn take(
        &self,
        messages: struct_list::Reader<'_, control_message::Owned>,
    ) -> Result<(), WireError> {
        self.check_admitted()?;
        for reader in messages {
            match self.take_message(reader) {
                Ok(()) => {}
                Err(WireError::UnknownName { .. }) => {
                    self.context.counters.add_fault(PeerFault::UnknownName);
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Tells whether the peer may still use the connection.
    ///
    /// A VM that this one has dialed by its address need not be in the roster.
    fn check_admitted(&self) -> Result<(), WireError> {
        if self.end == ConnectionEnd::Dialer || self.context.is_known(&self.from) {
            return Ok(());
        }
        self.context.counters.add_fault(PeerFault::UnknownName);
        Err(WireError::UnknownName {
            object: "VM",
            name: self.from.as_str().to_owned(),
        })
    }

    fn take_message(&self, reader: control_message::Reader<'_>) -> Result<(), WireError> {
        let bytes = reader.total_size()?.word_count * WORD_BYTES;
        let message = read_control(reader, &self.context.catalog.load())?;
        let kind = MessageKind::of_message(&message);
        self.context.counters.add_received(kind, bytes);
        match self.context.vm_named(&self.from) {
            Some(from) => self.handler.on_message(from, message),
            None => self.handler.on_seed_message(self.from.clone(), message),
        }
        Ok(())
    }
}
