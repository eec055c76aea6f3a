//! Validated change tickets.

use std::collections::HashSet;

use serde::Deserialize;
use serde::Deserializer;

use super::field_check;
use super::FieldError;
use super::ObjectId;
use super::ObjectKind;
use super::ObjectRecord;
use super::RawTicket;
use super::TicketError;
use crate::catalog::TicketNumber;

/// The maximum size of a ticket's text, in bytes.
pub const TICKET_MAX_BYTES: usize = 1024 * 1024;

/// The highest accepted number of a ticket.
pub const TICKET_NUMBER_MAX: u64 = i64::MAX as u64;

const OBJECTS_MAX: usize = 10_000;

/// A validated change ticket.
///
/// The validation depends on the ticket alone, so that every VM accepts or refuses the same tickets
/// whatever configuration it has in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The number.
    pub number: TicketNumber,
    /// The whole new state of each object that the ticket sets or removes.
    pub records: Vec<ObjectRecord>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TicketWire {
    number: u64,
    objects: Vec<ObjectWire>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ObjectWire {
    kind: ObjectKind,
    name: String,
    #[serde(deserialize_with = "present")]
    value: serde_json::Value,
}

/// Reads a field that may be null but not absent.
fn present<'de, D: Deserializer<'de>>(deserializer: D) -> Result<serde_json::Value, D::Error> {
    serde_json::Value::deserialize(deserializer)
}

impl TryFrom<&RawTicket> for Ticket {
    type Error = TicketError;

    fn try_from(raw: &RawTicket) -> Result<Self, Self::Error> {
        let wire = read_ticket(raw).map_err(|error| error.in_ticket(raw.number))?;
        let records = wire
            .objects
            .into_iter()
            .enumerate()
            .map(|(index, object)| read_object(raw.number, index, object))
            .collect::<Result<Vec<ObjectRecord>, TicketError>>()?;
        check_distinct(&records).map_err(|error| error.in_ticket(raw.number))?;
        Ok(Self {
            number: raw.number,
            records,
        })
    }
}

fn read_ticket(raw: &RawTicket) -> Result<TicketWire, FieldError> {
    if raw.body.len() > TICKET_MAX_BYTES {
        let problem = format!(
            "expected at most {TICKET_MAX_BYTES} bytes, got {}",
            raw.body.len()
        );
        return Err(FieldError::new("body", problem));
    }
    let mut deserializer = serde_json::Deserializer::from_slice(&raw.body);
    let wire: TicketWire = serde_path_to_error::deserialize(&mut deserializer)?;
    deserializer
        .end()
        .map_err(|error| FieldError::new("body", error.to_string()))?;
    field_check::range("number", wire.number, 1..=TICKET_NUMBER_MAX)?;
    if wire.number != raw.number.0 {
        let problem = format!("expected {}, got {}", raw.number, wire.number);
        return Err(FieldError::new("number", problem));
    }
    let has_valid_length = (1..=OBJECTS_MAX).contains(&wire.objects.len());
    if !has_valid_length {
        let problem = format!("expected 1 to {OBJECTS_MAX}, got {}", wire.objects.len());
        return Err(FieldError::new("objects", problem));
    }
    Ok(wire)
}

fn read_object(
    ticket: TicketNumber,
    index: usize,
    wire: ObjectWire,
) -> Result<ObjectRecord, TicketError> {
    let name = field_check::name(&format!("objects[{index}].name"), &wire.name)
        .map_err(|error| error.in_ticket(ticket))?;
    let id = ObjectId {
        kind: wire.kind,
        name,
    };
    ObjectRecord::from_value(ticket, id.clone(), &wire.value)
        .map_err(|error| error.in_object(ticket, id))
}

fn check_distinct(records: &[ObjectRecord]) -> Result<(), FieldError> {
    let mut seen = HashSet::new();
    for record in records {
        if !seen.insert(&record.id) {
            let problem = format!("expected each object once, got {} twice", record.id);
            return Err(FieldError::new("objects", problem));
        }
    }
    Ok(())
}
