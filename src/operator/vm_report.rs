//! What one VM reports about itself.

use crate::catalog::Name;
use crate::catalog::TicketNumber;
use crate::clock::WallTime;
use crate::telemetry::DayStatistics;

/// What one VM reports about itself and what it has seen today.
#[derive(Clone, Debug, PartialEq)]
pub struct VmReport {
    /// The VM.
    pub vm: Name,
    /// Its region.
    pub region: Name,
    /// Its state.
    pub state: VmState,
    /// The highest ticket that it has in force.
    pub ticket_in_force: TicketNumber,
    /// When the report was made.
    pub made_at: WallTime,
    /// The answers that it is sending.
    pub open_streams: u64,
    /// What operators should know about the VM, one sentence each.
    pub notices: Vec<String>,
    /// What happened today.
    pub statistics: DayStatistics,
    /// The endpoints that it uses.
    pub endpoints: Vec<EndpointReport>,
    /// The tokens that it holds for client accounts.
    pub limits: Vec<LimitReport>,
    /// Recent changes.
    pub changes: Vec<ChangeReport>,
}

/// What a VM does with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum VmState {
    /// It learns the configuration.
    Starting,
    /// It takes requests.
    Serving,
    /// It finishes running requests.
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
    /// The requests of this VM that run there.
    pub running: u64,
    /// The requests that it runs at once.
    pub concurrency: u64,
}

/// The state of an endpoint; later ones are worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointState {
    /// It takes new work.
    Active,
    /// It finishes running work.
    Leaving,
    /// It is left out, as it does not answer.
    Unreachable,
}

/// The tokens that a VM holds for a client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitReport {
    /// The client account.
    pub client_account: Name,
    /// The rate over all VMs together, in tokens per second.
    pub rate_tokens_per_s: u64,
    /// The burst over all VMs together, in tokens.
    pub burst_tokens: u64,
    /// The tokens that this VM may spend at once.
    pub held_tokens: u64,
}

/// One change, by a ticket or by the system itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeReport {
    /// When it happened.
    pub at: WallTime,
    /// The ticket; `None` if the system made the change by itself.
    pub ticket: Option<TicketNumber>,
    /// What changed, and why.
    pub summary: String,
}

impl VmState {
    const ALL: [Self; 3] = [Self::Starting, Self::Serving, Self::Draining];

    /// Returns the form used in JSON and on the page.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Draining => "draining",
        }
    }

    /// Returns the state of this form.
    pub fn from_text(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|state| state.as_str() == text)
    }
}

impl EndpointState {
    const ALL: [Self; 3] = [Self::Active, Self::Leaving, Self::Unreachable];

    /// Returns the form used in JSON and on the page.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Active => "active",
            Self::Leaving => "leaving",
            Self::Unreachable => "unreachable",
        }
    }

    /// Returns the state of this form.
    pub fn from_text(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|state| state.as_str() == text)
    }
}
