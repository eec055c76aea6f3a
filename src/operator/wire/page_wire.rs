//! The operators' page in JSON; the page and the terminal show the same.

use serde::Deserialize;
use serde::Serialize;

/// The operators' page.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PageWire {
    /// When the page was made, in milliseconds since the Unix epoch.
    pub made_at_unix_ms: u64,
    /// How well today went: `good`, `attention` or `bad`.
    pub verdict_level: String,
    /// The verdict in one line.
    pub verdict: String,
    /// All client accounts together.
    pub totals: TotalsRow,
    /// The client accounts, the worst-served first.
    pub accounts: Vec<AccountRow>,
    /// Requests by the hour, in UTC.
    pub hours: Vec<HourRow>,
    /// Which configuration is in force where, the newest first.
    pub configuration: Vec<ConfigurationRow>,
    /// The VMs that reported.
    pub vms: Vec<VmRow>,
    /// The VMs that did not report.
    pub missing_vms: Vec<String>,
    /// The endpoints, those in trouble first.
    pub endpoints: Vec<EndpointRow>,
    /// Recent changes, the newest first.
    pub changes: Vec<ChangeRow>,
}

/// All client accounts together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TotalsRow {
    /// Accepted requests that have ended.
    pub accepted: u64,
    /// Accepted requests that were answered in full.
    pub answered: u64,
    /// Accepted requests whose caller hung up.
    pub cancelled: u64,
    /// Accepted requests that were not answered in full, by kind.
    pub failed: Vec<KindCount>,
    /// Refused requests, by kind.
    pub refused: Vec<KindCount>,
    /// Requests that were refused although the account was inside its rate.
    pub refused_inside_rate: u64,
    /// Tokens that were charged.
    pub tokens: u64,
    /// The share of accepted requests served in another region, in thousandths.
    pub other_region_permille: u64,
    /// Answers that are being sent.
    pub open_streams: u64,
    /// Non-idempotent calls.
    pub bookings: BookingsRow,
    /// The time to the first token.
    pub first_token: LatencyRow,
    /// The time between tokens.
    pub between_tokens: LatencyRow,
}

/// A count of one error kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct KindCount {
    /// The code of the kind.
    pub kind: String,
    /// The count.
    pub count: u64,
}

/// What became of non-idempotent calls.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct BookingsRow {
    /// They ran.
    pub run: u64,
    /// They had run before.
    pub repeated: u64,
    /// Whether they ran is not known.
    pub unknown: u64,
}

/// Percentiles of a latency.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct LatencyRow {
    /// The number of latencies.
    pub count: u64,
    /// The median, in microseconds.
    pub p50_us: Option<u64>,
    /// The 95th percentile, in microseconds.
    pub p95_us: Option<u64>,
    /// The 99th percentile, in microseconds.
    pub p99_us: Option<u64>,
}

/// One client account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AccountRow {
    /// The name.
    pub client_account: String,
    /// Accepted requests that have ended.
    pub accepted: u64,
    /// Accepted requests that were answered in full.
    pub answered: u64,
    /// Accepted requests that were not answered in full.
    pub failed: u64,
    /// Refused requests.
    pub refused: u64,
    /// Requests that were refused although the account was inside its rate.
    pub refused_inside_rate: u64,
    /// Tokens that were charged.
    pub tokens: u64,
    /// The rate, in tokens per second.
    pub rate_tokens_per_s: u64,
    /// The burst, in tokens.
    pub burst_tokens: u64,
    /// The tokens that all VMs together may spend at once.
    pub held_tokens: u64,
    /// The time to the first token.
    pub first_token: LatencyRow,
    /// The time between tokens.
    pub between_tokens: LatencyRow,
}

/// Requests of one hour.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct HourRow {
    /// Answered in full.
    pub answered: u64,
    /// Refused.
    pub refused: u64,
    /// Accepted and not answered in full.
    pub failed: u64,
}

/// The VMs that have one ticket in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ConfigurationRow {
    /// The ticket.
    pub ticket: u64,
    /// The VMs.
    pub vms: Vec<String>,
}

/// One VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct VmRow {
    /// The name.
    pub vm: String,
    /// The region.
    pub region: String,
    /// The state.
    pub state: String,
    /// The highest ticket in force.
    pub ticket_in_force: u64,
    /// Answers that it is sending.
    pub open_streams: u64,
    /// What operators should know about it.
    pub notices: Vec<String>,
    /// Accepted requests of its callers that have ended.
    pub accepted: u64,
    /// Accepted requests of its callers that were not answered in full.
    pub failed: u64,
    /// The time to the first token.
    pub first_token: LatencyRow,
    /// The time between tokens.
    pub between_tokens: LatencyRow,
}

/// One endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct EndpointRow {
    /// The name.
    pub endpoint: String,
    /// The region.
    pub region: String,
    /// The worst state that a VM sees.
    pub state: String,
    /// The VMs that see this state.
    pub seen_by_vms: u64,
    /// The VMs that use the endpoint.
    pub vms: u64,
    /// Running requests.
    pub running: u64,
    /// The requests that it runs at once.
    pub concurrency: u64,
}

/// One change.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ChangeRow {
    /// When the first VM saw it, in milliseconds since the Unix epoch.
    pub first_at_unix_ms: u64,
    /// When the last VM saw it, in milliseconds since the Unix epoch.
    pub last_at_unix_ms: u64,
    /// The ticket; absent if the system made the change by itself.
    pub ticket: Option<u64>,
    /// What changed, and why.
    pub summary: String,
    /// The VMs that saw it.
    pub vms: Vec<String>,
}
