//! The faults that the platform stand-in can simulate.

use serde::Deserialize;
use serde::Serialize;

/// The faults that the platform stand-in simulates; the default simulates none.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether calls are answered.
    pub availability: Availability,
    /// The highest ticket that is listed; `None` lists all.
    pub pinned_ticket: Option<u64>,
    /// Tickets that are not listed, as if they were delayed.
    pub withheld_tickets: Vec<u64>,
    /// The order of the tickets in one response.
    pub ticket_order: TicketOrder,
    /// How often each ticket appears in a response.
    pub ticket_copies: TicketCopies,
    /// Whether responses are valid JSON.
    pub answer_form: AnswerForm,
    /// How far the list of VMs lags behind, in milliseconds.
    pub vm_list_lag_ms: u64,
    /// A VM that no longer exists but is still listed in the directory.
    pub directory_dead_vm: Option<DirectoryEntryWire>,
}

/// Whether calls are answered.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    /// Calls are answered normally.
    #[default]
    Up,
    /// Calls are refused at once with status 503.
    Down,
    /// Calls are never answered.
    Silent,
}

/// The order of the tickets in one response.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketOrder {
    /// Lowest first.
    #[default]
    Ascending,
    /// Highest first.
    Descending,
}

/// How often each ticket appears in a response.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketCopies {
    /// Each ticket appears once.
    #[default]
    Once,
    /// The whole sequence of tickets appears twice.
    Twice,
}

/// Whether responses are valid JSON.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerForm {
    /// Responses are valid JSON.
    #[default]
    WellFormed,
    /// Responses are truncated to half their length.
    Malformed,
}

/// One entry of the directory.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct DirectoryEntryWire {
    /// The name of the VM.
    pub name: String,
    /// The address at which it accepts callers.
    pub caller_address: std::net::SocketAddr,
}
