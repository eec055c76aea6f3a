//! The JSON form of the platform's responses.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use super::PlatformError;
use super::TicketBatch;
use super::VmListEntry;
use crate::catalog::Name;
use crate::catalog::ServiceState;
use crate::catalog::TicketNumber;
use crate::configuration::RawTicket;

/// A page of tickets with their unparsed texts.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct TicketsWire {
    /// The tickets.
    pub tickets: Vec<TicketWire>,
}

/// One ticket with its unparsed text.
#[derive(Debug, Deserialize, Serialize)]
pub struct TicketWire {
    /// The ticket number.
    pub number: u64,
    /// The ticket's whole JSON text.
    pub ticket: Box<RawValue>,
}

/// The list of VMs.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct VmsWire {
    /// The VMs.
    pub vms: Vec<VmWire>,
}

/// An entry of the list of VMs.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VmWire {
    /// The name.
    pub name: String,
    /// Whether it is live or leaving.
    pub state: VmStateWire,
}

/// Whether a VM is live or leaving.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmStateWire {
    /// It accepts new requests.
    Live,
    /// It is about to shut down.
    Leaving,
}

impl From<TicketsWire> for TicketBatch {
    fn from(wire: TicketsWire) -> Self {
        let tickets = wire.tickets.into_iter().map(|ticket| RawTicket {
            number: TicketNumber(ticket.number),
            body: Bytes::from(ticket.ticket.get().to_owned()),
        });
        Self {
            tickets: tickets.collect(),
        }
    }
}

impl TryFrom<VmsWire> for Vec<VmListEntry> {
    type Error = PlatformError;

    fn try_from(wire: VmsWire) -> Result<Self, Self::Error> {
        wire.vms.into_iter().map(VmListEntry::try_from).collect()
    }
}

impl TryFrom<VmWire> for VmListEntry {
    type Error = PlatformError;

    fn try_from(wire: VmWire) -> Result<Self, Self::Error> {
        let vm = Name::new(&wire.name).map_err(|error| PlatformError::Malformed {
            reason: format!("vms: {error}, got {:?}", wire.name),
        })?;
        let state = match wire.state {
            VmStateWire::Live => ServiceState::Active,
            VmStateWire::Leaving => ServiceState::Leaving,
        };
        Ok(Self { vm, state })
    }
}
