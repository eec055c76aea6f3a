//! A change ticket as the platform publishes it.

use bytes::Bytes;

use crate::catalog::TicketNumber;

/// A change ticket as the platform publishes it: its number and its text in JSON, unchecked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawTicket {
    /// The number.
    pub number: TicketNumber,
    /// The whole text, in JSON.
    pub body: Bytes,
}
