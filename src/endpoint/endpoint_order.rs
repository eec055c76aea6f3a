//! Orders to model engines.

use crate::catalog::Name;
use crate::catalog::TicketNumber;

/// An order to load a version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointOrder {
    /// The fencing token: the number of the ticket that the desired state comes from.
    pub fencing: TicketNumber,
    /// The model.
    pub model: Name,
    /// The version.
    pub version: Name,
}

/// The engine's response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine applies the order, or has applied it before.
    Accepted,
    /// The engine refused the order, because it has seen a higher fencing token.
    Fenced {
        /// The highest fencing token that the engine has seen.
        highest: TicketNumber,
    },
}
