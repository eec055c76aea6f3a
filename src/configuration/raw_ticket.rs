//! A change ticket as the platform publishes it.

use bytes::Bytes;

use crate::catalog::TicketNumber;

/// An unchecked change ticket as the platform publishes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawTicket {
    /// The number under which the platform lists the ticket.
    pub number: TicketNumber,
    /// The whole text, in JSON.
    pub body: Bytes,
}
