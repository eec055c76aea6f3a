//! The faults that the platform stand-in can show.

use serde::Deserialize;
use serde::Serialize;

/// The faults that the platform stand-in shows now; the default shows none.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether calls are answered.
    pub availability: Availability,
    /// The highest ticket that is shown; `None` shows all.
    pub pinned_ticket: Option<u64>,
    /// Tickets that are not shown, as if they came late.
    pub withheld_tickets: Vec<u64>,
    /// The order of the tickets in one answer.
    pub ticket_order: TicketOrder,
    /// How often each ticket stands in an answer.
    pub ticket_copies: TicketCopies,
    /// Whether answers parse.
    pub answer_form: AnswerForm,
    /// The age of the list of VMs, in milliseconds.
    pub vm_list_lag_ms: u64,
    /// A VM that no longer exists and that the directory still names.
    pub directory_dead_vm: Option<DirectoryEntryWire>,
}

/// Whether calls are answered.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    /// They are.
    #[default]
    Up,
    /// They are refused at once with status 503.
    Down,
    /// They are never answered.
    Silent,
}

/// The order of the tickets in one answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketOrder {
    /// Lowest first.
    #[default]
    Ascending,
    /// Highest first.
    Descending,
}

/// How often each ticket stands in an answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketCopies {
    /// Once.
    #[default]
    Once,
    /// Twice.
    Twice,
}

/// Whether answers parse.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerForm {
    /// They do.
    #[default]
    WellFormed,
    /// They break off in the middle of the text.
    Malformed,
}

/// One line of the directory.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct DirectoryEntryWire {
    /// The name of the VM.
    pub name: String,
    /// Its address for callers.
    pub caller_address: std::net::SocketAddr,
}
