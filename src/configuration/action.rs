//! Actions requested by the configuration controller.

use std::sync::Arc;
use std::time::Duration;

use super::ConfigurationMessage;
use crate::audit::AuditEvent;
use crate::catalog::Catalog;
use crate::catalog::TicketNumber;
use crate::catalog::VmKey;

/// An action that the configuration controller requests from its caller.
#[derive(Clone, Debug)]
pub enum ConfigurationAction {
    /// Send a message over an unreliable channel.
    Send {
        /// The receiver.
        to: VmKey,
        /// The message.
        message: ConfigurationMessage,
    },
    /// Put a catalog into force.
    Publish(Arc<Catalog>),
    /// Read the service and pass the outcome to `ConfigurationController::on_read`.
    Read(ServiceRead),
    /// Write an entry of the audit trail.
    Audit(AuditEvent),
}

/// One read of the configuration service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceRead {
    /// The kind, returned with the outcome; at most one read of each kind is in flight.
    pub kind: ReadKind,
    /// Only tickets with a higher number are read.
    pub after: TicketNumber,
    /// How long the service may hold the request until there is a ticket (long poll).
    pub wait: Duration,
}

/// The kind of a read of the configuration service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReadKind {
    /// A long poll that waits for new tickets.
    Watch,
    /// Reads the published tickets without waiting.
    Poll,
}
