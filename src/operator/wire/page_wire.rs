//! The operators' page in JSON, from which the HTML page and the terminal text are rendered.

use serde::Deserialize;
use serde::Serialize;

/// The operators' page.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PageWire {
    /// When the page was built, in milliseconds since the Unix epoch.
    pub made_at_unix_ms: u64,
    /// The level of the verdict: `good`, `attention` or `bad`.
    pub verdict_level: String,
    /// The verdict in one line.
    pub verdict: String,
    /// All client accounts together.
    pub totals: TotalsRow,
    /// The client accounts, worst-served first.
    pub accounts: Vec<AccountRow>,
    /// Requests in each hour of the day, in UTC.
    pub hours: Vec<HourRow>,
    /// The VMs by the configuration ticket that they have in force, newest ticket first.
    pub configuration: Vec<ConfigurationRow>,
    /// The VMs that reported.
    pub vms: Vec<VmRow>,
    /// The VMs that did not report.
    pub missing_vms: Vec<String>,
    /// The endpoints, worst state first.
    pub endpoints: Vec<EndpointRow>,
    /// Recent changes, newest first.
    pub changes: Vec<ChangeRow>,
}

/// All client accounts together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TotalsRow {
    /// Accepted requests that have ended.
    pub accepted: u64,
    /// Accepted requests that were answered in full.
    pub answered: u64,
    /// Accepted requests whose caller disconnected.
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
    /// The number of answers that are being sent.
    pub open_streams: u64,
    /// Outcomes of non-idempotent calls.
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

/// Outcomes of non-idempotent calls (bookings).
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct BookingsRow {
    /// Calls that ran.
    pub run: u64,
    /// Calls answered with the stored outcome of an earlier run.
    pub repeated: u64,
    /// Calls of which it is not known whether they ran.
    pub unknown: u64,
}

/// Percentiles of a latency.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct LatencyRow {
    /// The number of measurements.
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
    /// The tokens that all VMs together may spend immediately.
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
    /// The highest configuration ticket in force.
    pub ticket_in_force: u64,
    /// The number of answers that it is sending.
    pub open_streams: u64,
    /// Notices for operators about the VM.
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
    /// The worst state that any VM reports.
    pub state: String,
    /// The number of VMs that report this state.
    pub seen_by_vms: u64,
    /// The number of VMs that use the endpoint.
    pub vms: u64,
    /// The number of running requests.
    pub running: u64,
    /// The number of requests that it runs concurrently.
    pub concurrency: u64,
}

/// One change.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ChangeRow {
    /// When the first VM recorded it, in milliseconds since the Unix epoch.
    pub first_at_unix_ms: u64,
    /// When the last VM recorded it, in milliseconds since the Unix epoch.
    pub last_at_unix_ms: u64,
    /// The ticket; absent for an automatic change.
    pub ticket: Option<u64>,
    /// What changed and why.
    pub summary: String,
    /// The VMs that recorded it.
    pub vms: Vec<String>,
}
