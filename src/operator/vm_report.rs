//! The report of one VM.

use crate::catalog::Name;
use crate::catalog::TicketNumber;
use crate::clock::WallTime;
use crate::telemetry::DayStatistics;

/// The report of one VM: its state, today's statistics, and its view of endpoints and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct VmReport {
    /// The VM.
    pub vm: Name,
    /// Its region.
    pub region: Name,
    /// Its state.
    pub state: VmState,
    /// The highest configuration ticket that it has in force.
    pub ticket_in_force: TicketNumber,
    /// When the report was made.
    pub made_at: WallTime,
    /// The number of answers that it is sending.
    pub open_streams: u64,
    /// Notices for operators about the VM, one sentence each.
    pub notices: Vec<String>,
    /// Today's statistics.
    pub statistics: DayStatistics,
    /// The endpoints that it uses.
    pub endpoints: Vec<EndpointReport>,
    /// The limits of client accounts and the tokens that it holds for them.
    pub limits: Vec<LimitReport>,
    /// Recent changes.
    pub changes: Vec<ChangeReport>,
}

/// The state of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum VmState {
    /// It is loading the configuration.
    Starting,
    /// It takes requests.
    Serving,
    /// It takes no new requests and finishes running ones.
    Draining,
}

/// An endpoint as one VM sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointReport {
    /// The endpoint.
    pub endpoint: Name,
    /// Its region.
    pub region: Name,
    /// Its state.
    pub state: EndpointState,
    /// The number of requests of this VM that run there.
    pub running: u64,
    /// The number of requests that it runs concurrently.
    pub concurrency: u64,
}

/// The state of an endpoint; later variants are worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointState {
    /// It takes new requests.
    Active,
    /// It is draining: it takes no new requests and finishes running ones.
    Leaving,
    /// Its circuit breaker is open after consecutive failures.
    Unreachable,
}

/// The limit of a client account, and the tokens that a VM holds for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitReport {
    /// The client account.
    pub client_account: Name,
    /// The rate over all VMs together, in tokens per second.
    pub rate_tokens_per_s: u64,
    /// The burst over all VMs together, in tokens.
    pub burst_tokens: u64,
    /// The tokens that this VM may spend immediately.
    pub held_tokens: u64,
}

/// One change, made by a ticket or automatically.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeReport {
    /// When this VM recorded it.
    pub at: WallTime,
    /// The ticket; `None` for an automatic change.
    pub ticket: Option<TicketNumber>,
    /// What changed and why.
    pub summary: String,
}

impl VmState {
    const ALL: [Self; 3] = [Self::Starting, Self::Serving, Self::Draining];

    /// Returns the name used in JSON and on the page.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Draining => "draining",
        }
    }

    /// Parses the name that [`Self::as_str`] returns.
    pub fn from_text(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|state| state.as_str() == text)
    }
}

impl EndpointState {
    const ALL: [Self; 3] = [Self::Active, Self::Leaving, Self::Unreachable];

    /// Returns the name used in JSON and on the page.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Active => "active",
            Self::Leaving => "leaving",
            Self::Unreachable => "unreachable",
        }
    }

    /// Parses the name that [`Self::as_str`] returns.
    pub fn from_text(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|state| state.as_str() == text)
    }
}
