//! Errors in change tickets.

use thiserror::Error;

use super::ObjectId;
use crate::catalog::TicketNumber;

/// Why a change ticket is refused as a whole.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum TicketError {
    /// The ticket itself is malformed.
    #[error("ticket {ticket}: {field}: {problem}")]
    Ticket {
        /// The ticket.
        ticket: TicketNumber,
        /// The path of the field.
        field: String,
        /// What was expected, and what was found.
        problem: String,
    },
    /// An object of the ticket has an invalid value.
    #[error("ticket {ticket}: {object}: {field}: {problem}")]
    Object {
        /// The ticket.
        ticket: TicketNumber,
        /// The object.
        object: ObjectId,
        /// The path of the field inside the value.
        field: String,
        /// What was expected, and what was found.
        problem: String,
    },
}

/// An invalid field of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// The path of the field inside the value.
    pub field: String,
    /// What was expected, and what was found.
    pub problem: String,
}

impl FieldError {
    /// Creates an error for `field`.
    pub fn new(field: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            problem: problem.into(),
        }
    }

    /// Adds the ticket and the object that the field belongs to.
    pub fn in_object(self, ticket: TicketNumber, object: ObjectId) -> TicketError {
        TicketError::Object {
            ticket,
            object,
            field: self.field,
            problem: self.problem,
        }
    }

    /// Adds the ticket that the field belongs to.
    pub fn in_ticket(self, ticket: TicketNumber) -> TicketError {
        TicketError::Ticket {
            ticket,
            field: self.field,
            problem: self.problem,
        }
    }
}

impl From<serde_path_to_error::Error<serde_json::Error>> for FieldError {
    fn from(error: serde_path_to_error::Error<serde_json::Error>) -> Self {
        let path = error.path().to_string();
        let is_known = !matches!(path.as_str(), "" | "." | "?");
        Self {
            field: if is_known { path } else { "body".to_owned() },
            problem: error.inner().to_string(),
        }
    }
}
