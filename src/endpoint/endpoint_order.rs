//! Orders to model engines.

use crate::catalog::Name;
use crate::catalog::TicketNumber;

/// An order to load a version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointOrder {
    /// The fencing number: the ticket that the wanted state comes from.
    pub fencing: TicketNumber,
    /// The model.
    pub model: Name,
    /// The version.
    pub version: Name,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine carries the order out, or had done so before.
    Accepted,
    /// The engine refused the order, as it knows a higher fencing number.
    Fenced {
        /// The highest number that the engine knows.
        highest: TicketNumber,
    },
}
