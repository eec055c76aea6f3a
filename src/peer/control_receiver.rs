//! Passes the control messages of one connection to the handler.

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

/// Passes the control messages of one connection to the handler.
pub(super) struct ControlReceiver {
    pub(super) context: Arc<PeerContext>,
    pub(super) handler: Arc<dyn PeerHandler>,
    /// The authenticated name of the peer.
    pub(super) from: Name,
    /// Which end of the connection this VM is.
    pub(super) end: ConnectionEnd,
}

impl ControlReceiver {
    /// Passes on each message; one that names an unknown object is counted and skipped.
    ///
    /// # Errors
    ///
    /// Returns a [`WireError`] if a message is malformed or the peer has left the roster.
    pub(super) fn on_messages(
        &self,
        messages: struct_list::Reader<'_, control_message::Owned>,
    ) -> Result<(), WireError> {
        self.check_roster()?;
        for reader in messages {
            match self.handle_message(reader) {
                Ok(()) => {}
                Err(WireError::UnknownName { .. }) => {
                    self.context.counters.add_fault(PeerFault::UnknownName);
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Checks that the peer is still in the roster.
    ///
    /// A VM that this one has dialed by its address is exempt.
    fn check_roster(&self) -> Result<(), WireError> {
        if self.end == ConnectionEnd::Dialer || self.context.is_known(&self.from) {
            return Ok(());
        }
        self.context.counters.add_fault(PeerFault::UnknownName);
        Err(WireError::UnknownName {
            object: "VM",
            name: self.from.as_str().to_owned(),
        })
    }

    fn handle_message(&self, reader: control_message::Reader<'_>) -> Result<(), WireError> {
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
