//! Numbers of change tickets.

use std::fmt;

/// The number of a change ticket; a higher number replaces a lower one, object by object.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketNumber(pub u64);

impl fmt::Display for TicketNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
