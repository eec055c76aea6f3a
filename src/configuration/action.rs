//! What the configuration controller wants done.

use std::sync::Arc;
use std::time::Duration;

use super::ConfigurationMessage;
use crate::audit::AuditEvent;
use crate::catalog::Catalog;
use crate::catalog::TicketNumber;
use crate::catalog::VmKey;

/// What the configuration controller wants done.
#[derive(Clone, Debug)]
pub enum ConfigurationAction {
    /// Send a message; it may be lost.
    Send {
        /// The receiver.
        to: VmKey,
        /// The message.
        message: ConfigurationMessage,
    },
    /// Make a catalog the one in force.
    Publish(Arc<Catalog>),
    /// Read the service and hand the outcome to `on_read`.
    Read(ServiceRead),
    /// Write an entry of the audit trail.
    Audit(AuditEvent),
}

/// One read of the configuration service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceRead {
    /// The kind, handed back with the outcome; at most one read of each kind is under way.
    pub kind: ReadKind,
    /// The ticket above which to read.
    pub after: TicketNumber,
    /// The longest wait for a ticket.
    pub wait: Duration,
}

/// The kind of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReadKind {
    /// Waits for new tickets.
    Watch,
    /// Reads what is there.
    Poll,
}
