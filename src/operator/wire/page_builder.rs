//! Builds the operators' page from a merged report.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::AccountRow;
use super::BookingsRow;
use super::ChangeRow;
use super::ConfigurationRow;
use super::EndpointRow;
use super::HourRow;
use super::KindCount;
use super::LatencyRow;
use super::PageWire;
use super::TotalsRow;
use super::VmRow;
use crate::catalog::Name;
use crate::errors::ErrorKind;
use crate::operator::FleetEndpoint;
use crate::operator::FleetReport;
use crate::operator::Verdict;
use crate::operator::VerdictLevel;
use crate::telemetry::AccountStatistics;
use crate::telemetry::LatencyHistogram;

const CHANGES_MAX: usize = 50;
const PERMILLE: u64 = 1_000;

impl PageWire {
    /// Builds the page from a merged report.
    pub fn new(fleet: &FleetReport, made_at_unix_ms: u64) -> Self {
        let verdict = Verdict::of(fleet);
        let hours = fleet.statistics.hours.iter().map(|hour| HourRow {
            answered: hour.answered,
            refused: hour.refused,
            failed: hour.failed,
        });
        Self {
            made_at_unix_ms,
            verdict_level: verdict.level.as_str().to_owned(),
            verdict: verdict.line,
            totals: totals(fleet),
            accounts: accounts(fleet),
            hours: hours.collect(),
            configuration: configuration(fleet),
            vms: vms(fleet),
            missing_vms: fleet.missing.iter().map(ToString::to_string).collect(),
            endpoints: endpoints(fleet),
            changes: changes(fleet),
        }
    }
}

impl VerdictLevel {
    /// Returns the name used in JSON.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Attention => "attention",
            Self::Bad => "bad",
        }
    }
}

impl From<&LatencyHistogram> for LatencyRow {
    fn from(histogram: &LatencyHistogram) -> Self {
        Self {
            count: histogram.count(),
            p50_us: histogram.percentile_us(50.0),
            p95_us: histogram.percentile_us(95.0),
            p99_us: histogram.percentile_us(99.0),
        }
    }
}

fn totals(fleet: &FleetReport) -> TotalsRow {
    let total = fleet.statistics.total();
    let other_region_permille = (total.served_in_other_region * PERMILLE)
        .checked_div(total.accepted)
        .unwrap_or(0);
    TotalsRow {
        accepted: total.accepted,
        answered: total.answered,
        cancelled: total.cancelled,
        failed: kind_counts(&total.failed),
        refused: kind_counts(&total.refused),
        refused_inside_rate: total.refused_inside_rate,
        tokens: total.tokens,
        other_region_permille,
        open_streams: fleet.vms.values().map(|vm| vm.open_streams).sum(),
        bookings: BookingsRow {
            run: total.bookings.run,
            repeated: total.bookings.repeated,
            unknown: total.bookings.unknown,
        },
        first_token: LatencyRow::from(&total.first_token),
        between_tokens: LatencyRow::from(&total.between_tokens),
    }
}

fn kind_counts(counts: &BTreeMap<ErrorKind, u64>) -> Vec<KindCount> {
    let mut counts: Vec<KindCount> = counts
        .iter()
        .map(|(kind, count)| KindCount {
            kind: kind.answer().code.to_owned(),
            count: *count,
        })
        .collect();
    counts.sort_by_key(|count| Reverse(count.count));
    counts
}

fn accounts(fleet: &FleetReport) -> Vec<AccountRow> {
    let statistics = &fleet.statistics;
    let mut rows: Vec<AccountRow> = statistics
        .worst_served_first()
        .into_iter()
        .map(|(name, account)| account_row(fleet, name, account))
        .collect();
    let idle = fleet
        .limits
        .keys()
        .filter(|name| !statistics.accounts.contains_key(&Some((*name).clone())));
    let none = AccountStatistics::default();
    rows.extend(idle.map(|name| account_row(fleet, name, &none)));
    rows
}

fn account_row(fleet: &FleetReport, name: &Name, account: &AccountStatistics) -> AccountRow {
    let limit = fleet.limits.get(name).copied().unwrap_or_default();
    AccountRow {
        client_account: name.to_string(),
        accepted: account.accepted,
        answered: account.answered,
        failed: account.failed_count(),
        refused: account.refused_count(),
        refused_inside_rate: account.refused_inside_rate,
        tokens: account.tokens,
        rate_tokens_per_s: limit.rate_tokens_per_s,
        burst_tokens: limit.burst_tokens,
        held_tokens: limit.held_tokens,
        first_token: LatencyRow::from(&account.first_token),
        between_tokens: LatencyRow::from(&account.between_tokens),
    }
}

fn configuration(fleet: &FleetReport) -> Vec<ConfigurationRow> {
    let mut rows: Vec<ConfigurationRow> = Vec::new();
    let mut vms: Vec<_> = fleet.vms.iter().collect();
    vms.sort_by_key(|(_, vm)| Reverse(vm.ticket_in_force));
    for (name, vm) in vms {
        let ticket = vm.ticket_in_force.0;
        match rows.last_mut().filter(|row| row.ticket == ticket) {
            Some(row) => row.vms.push(name.to_string()),
            None => rows.push(ConfigurationRow {
                ticket,
                vms: vec![name.to_string()],
            }),
        }
    }
    rows
}

fn vms(fleet: &FleetReport) -> Vec<VmRow> {
    let mut rows: Vec<VmRow> = fleet
        .vms
        .iter()
        .map(|(name, vm)| VmRow {
            vm: name.to_string(),
            region: vm.region.to_string(),
            state: vm.state.as_str().to_owned(),
            ticket_in_force: vm.ticket_in_force.0,
            open_streams: vm.open_streams,
            notices: vm.notices.clone(),
            accepted: vm.served.accepted,
            failed: vm.served.failed_count(),
            first_token: LatencyRow::from(&vm.served.first_token),
            between_tokens: LatencyRow::from(&vm.served.between_tokens),
        })
        .collect();
    rows.sort_by(|a, b| (&a.region, &a.vm).cmp(&(&b.region, &b.vm)));
    rows
}

fn endpoints(fleet: &FleetReport) -> Vec<EndpointRow> {
    let mut endpoints: Vec<(&Name, &FleetEndpoint)> = fleet.endpoints.iter().collect();
    endpoints.sort_by(|(name, entry), (other_name, other)| {
        let key = |entry: &FleetEndpoint| (Reverse(entry.state), entry.region.clone());
        (key(entry), name).cmp(&(key(other), other_name))
    });
    endpoints
        .into_iter()
        .map(|(name, entry)| EndpointRow {
            endpoint: name.to_string(),
            region: entry.region.to_string(),
            state: entry.state.as_str().to_owned(),
            seen_by_vms: entry.seen_by.get(&entry.state).copied().unwrap_or(0),
            vms: entry.seen_by.values().sum(),
            running: entry.running,
            concurrency: entry.concurrency,
        })
        .collect()
}

fn changes(fleet: &FleetReport) -> Vec<ChangeRow> {
    let mut rows: Vec<ChangeRow> = fleet
        .changes
        .iter()
        .map(|(key, entry)| ChangeRow {
            first_at_unix_ms: entry.first_at.unix_ms,
            last_at_unix_ms: entry.last_at.unix_ms,
            ticket: key.ticket.map(|ticket| ticket.0),
            summary: key.summary.clone(),
            vms: entry.vms.iter().map(ToString::to_string).collect(),
        })
        .collect();
    rows.sort_by_key(|row| Reverse(row.first_at_unix_ms));
    rows.truncate(CHANGES_MAX);
    rows
}
