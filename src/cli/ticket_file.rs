//! Reads change tickets from files.

use std::fs;
use std::path::Path;

use bytes::Bytes;
use serde::Deserialize;
use thiserror::Error;

use crate::catalog::TicketNumber;
use crate::configuration::RawTicket;
use crate::configuration::Ticket;
use crate::configuration::TicketError;

/// A file with one change ticket, of which only the number has been parsed.
#[derive(Clone, Debug)]
pub(super) struct TicketFile {
    pub(super) file: String,
    pub(super) raw: RawTicket,
}

/// Why a file with a change ticket is not accepted.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub(super) enum TicketFileError {
    #[error("{file}: {reason}")]
    Unreadable { file: String, reason: String },
    #[error("{file}:{line}: {reason}")]
    Malformed {
        file: String,
        line: usize,
        reason: String,
    },
    #[error("{file}:{line}: {error}")]
    Refused {
        file: String,
        line: usize,
        error: TicketError,
    },
}

#[derive(Deserialize)]
struct HeadWire {
    number: u64,
}

impl TicketFile {
    /// Reads a file and parses the number of its ticket.
    pub(super) fn load(path: &Path) -> Result<Self, TicketFileError> {
        let file = path.display().to_string();
        let body = fs::read(path).map_err(|error| TicketFileError::Unreadable {
            file: file.clone(),
            reason: error.to_string(),
        })?;
        let head: HeadWire =
            serde_json::from_slice(&body).map_err(|error| TicketFileError::Malformed {
                file: file.clone(),
                line: error.line(),
                reason: error.to_string(),
            })?;
        let raw = RawTicket {
            number: TicketNumber(head.number),
            body: Bytes::from(body),
        };
        Ok(Self { file, raw })
    }

    /// Checks the ticket.
    pub(super) fn check(&self) -> Result<Ticket, TicketFileError> {
        Ticket::try_from(&self.raw).map_err(|error| TicketFileError::Refused {
            file: self.file.clone(),
            line: self.line_of(&error),
            error,
        })
    }

    /// Returns the line of an invalid field: searches for the object's name, then for the field.
    fn line_of(&self, error: &TicketError) -> usize {
        let text = String::from_utf8_lossy(&self.raw.body);
        let (object, field) = match error {
            TicketError::Ticket { field, .. } => (None, field),
            TicketError::Object { object, field, .. } => (Some(object.name.as_str()), field),
        };
        let object_start = object
            .and_then(|name| text.find(&format!("\"{name}\"")))
            .unwrap_or_default();
        let last_name = field
            .rsplit(['.', '['])
            .find(|part| part.starts_with(|first: char| first.is_ascii_lowercase()))
            .unwrap_or_default();
        let field_start = text[object_start..]
            .find(&format!("\"{last_name}\""))
            .unwrap_or_default();
        let offset = object_start + field_start;
        text[..offset].matches('\n').count() + 1
    }
}
