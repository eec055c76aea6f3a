//! The JSON form of what the platform answers.

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

/// Tickets with their unparsed texts.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct TicketsWire {
    /// The tickets.
    pub tickets: Vec<TicketWire>,
}

/// One ticket with its unparsed text.
#[derive(Debug, Deserialize, Serialize)]
pub struct TicketWire {
    /// The number.
    pub number: u64,
    /// The whole text.
    pub ticket: Box<RawValue>,
}

/// The list of VMs.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct VmsWire {
    /// The VMs.
    pub vms: Vec<VmWire>,
}

/// One line of the list of VMs.
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
    /// It takes new work.
    Live,
    /// It is about to go.
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
