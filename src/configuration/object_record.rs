//! One object with its version, as it is stored and gossiped.

use std::sync::Arc;

use bytes::Bytes;
use serde_json::Value;

use super::ContentHash;
use super::FieldError;
use super::ObjectId;
use super::SpecText;
use super::Version;
use crate::catalog::ObjectSpec;
use crate::catalog::TicketNumber;

/// One object with its version; `value` is `None` for a tombstone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectRecord {
    /// The object.
    pub id: ObjectId,
    /// The version.
    pub version: Version,
    /// The checked value.
    pub value: Option<Arc<ObjectSpec>>,
    /// The value in canonical JSON; empty for a tombstone.
    pub text: Bytes,
}

impl ObjectRecord {
    /// Creates the record of a value that `ticket` sets.
    pub fn with_value(ticket: TicketNumber, id: ObjectId, value: ObjectSpec) -> Self {
        let text = SpecText::of(&value).into_bytes();
        let version = Version {
            ticket,
            content: ContentHash::of_text(&text),
        };
        Self {
            id,
            version,
            value: Some(Arc::new(value)),
            text,
        }
    }

    /// Creates the record of an object that `ticket` removes.
    pub fn tombstone(ticket: TicketNumber, id: ObjectId) -> Self {
        let version = Version {
            ticket,
            content: ContentHash::TOMBSTONE,
        };
        Self {
            id,
            version,
            value: None,
            text: Bytes::new(),
        }
    }

    /// Checks a record received from another VM; an empty text is a tombstone.
    ///
    /// # Errors
    ///
    /// Returns the invalid field, by the same check as for change tickets.
    pub fn from_text(ticket: TicketNumber, id: ObjectId, text: &[u8]) -> Result<Self, FieldError> {
        if text.is_empty() {
            SpecText::check_name(&id)?;
            return Ok(Self::tombstone(ticket, id));
        }
        let value: Value = serde_json::from_slice(text)
            .map_err(|error| FieldError::new("value", error.to_string()))?;
        Self::from_value(ticket, id, &value)
    }

    /// Checks a value in JSON; null is a tombstone.
    ///
    /// # Errors
    ///
    /// Returns the invalid field.
    pub fn from_value(
        ticket: TicketNumber,
        id: ObjectId,
        value: &Value,
    ) -> Result<Self, FieldError> {
        if value.is_null() {
            SpecText::check_name(&id)?;
            return Ok(Self::tombstone(ticket, id));
        }
        let spec = SpecText::parse(&id, value)?;
        Ok(Self::with_value(ticket, id, spec))
    }

    /// Returns the approximate size of the record in a message, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.text.len() + self.id.name.as_str().len() + RECORD_OVERHEAD_BYTES
    }
}

const RECORD_OVERHEAD_BYTES: usize = 48;
