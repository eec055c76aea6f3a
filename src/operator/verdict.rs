//! A one-line assessment of the day.

use super::FleetReport;
use crate::telemetry::AccountStatistics;

/// The target for the 95th percentile of the time to the first token, in microseconds.
pub const FIRST_TOKEN_TARGET_US: u64 = 530_000;
/// The target for the 95th percentile of the time between tokens, in microseconds.
pub const BETWEEN_TOKENS_TARGET_US: u64 = 40_000;

const TARGET_PERCENT: f64 = 95.0;

/// The assessment of the day, shown at the top of the operators' page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The worst level of all findings.
    pub level: VerdictLevel,
    /// All findings in one sentence.
    pub line: String,
}

/// The level of a verdict; later variants are worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum VerdictLevel {
    /// There are no findings.
    Good,
    /// A request was refused inside its rate, a latency target was missed, a VM did not report, or
    /// a VM is behind in configuration.
    Attention,
    /// An accepted request was not answered in full, or the outcome of a booking is unknown.
    Bad,
}

struct Finding {
    level: VerdictLevel,
    text: String,
}

impl Verdict {
    /// Computes the verdict of a merged report.
    pub fn of(fleet: &FleetReport) -> Self {
        let total = fleet.statistics.total();
        let mut findings = failed_requests(&total);
        findings.extend(missed_targets(&total));
        findings.extend(missing_or_stale_vms(fleet));
        let worst = findings.iter().map(|finding| finding.level).max();
        let level = worst.unwrap_or(VerdictLevel::Good);
        let details: Vec<String> = findings.into_iter().map(|finding| finding.text).collect();
        let line = match level {
            VerdictLevel::Good => good_line(&total),
            VerdictLevel::Attention => format!("Needs attention: {}.", details.join("; ")),
            VerdictLevel::Bad => format!("Not well: {}.", details.join("; ")),
        };
        Self { level, line }
    }
}

fn good_line(total: &AccountStatistics) -> String {
    if total.accepted == 0 {
        return "No request has ended yet today.".to_owned();
    }
    format!(
        "Today goes well: all of {} accepted requests were answered in full.",
        total.accepted - total.cancelled
    )
}

fn failed_requests(total: &AccountStatistics) -> Vec<Finding> {
    let findings = [
        (
            total.failed_count(),
            VerdictLevel::Bad,
            "accepted request not answered in full",
            "accepted requests not answered in full",
        ),
        (
            total.bookings.unknown,
            VerdictLevel::Bad,
            "booking with unknown outcome",
            "bookings with unknown outcome",
        ),
        (
            total.refused_inside_rate,
            VerdictLevel::Attention,
            "request refused inside its account's rate",
            "requests refused inside their account's rate",
        ),
    ];
    findings
        .into_iter()
        .filter(|(count, ..)| *count > 0)
        .map(|(count, level, one, many)| Finding {
            level,
            text: counted(count, one, many),
        })
        .collect()
}

fn missed_targets(total: &AccountStatistics) -> Vec<Finding> {
    let targets = [
        ("first token", &total.first_token, FIRST_TOKEN_TARGET_US),
        (
            "time between tokens",
            &total.between_tokens,
            BETWEEN_TOKENS_TARGET_US,
        ),
    ];
    targets
        .into_iter()
        .filter_map(|(name, histogram, target_us)| {
            let p95_us = histogram.percentile_us(TARGET_PERCENT)?;
            (p95_us > target_us).then(|| Finding {
                level: VerdictLevel::Attention,
                text: format!(
                    "{name} p95 is {} ms against {} ms",
                    p95_us / 1_000,
                    target_us / 1_000
                ),
            })
        })
        .collect()
}

fn missing_or_stale_vms(fleet: &FleetReport) -> Vec<Finding> {
    let newest = fleet.newest_ticket();
    let behind = fleet
        .vms
        .values()
        .filter(|vm| vm.ticket_in_force < newest)
        .count();
    let findings = [
        (
            fleet.missing.len(),
            "VM gave no report",
            "VMs gave no report",
        ),
        (
            behind,
            "VM is behind in configuration",
            "VMs are behind in configuration",
        ),
    ];
    findings
        .into_iter()
        .filter(|(count, ..)| *count > 0)
        .map(|(count, one, many)| Finding {
            level: VerdictLevel::Attention,
            text: counted(u64::try_from(count).unwrap_or(u64::MAX), one, many),
        })
        .collect()
}

fn counted(count: u64, one: &str, many: &str) -> String {
    let noun = if count == 1 { one } else { many };
    format!("{count} {noun}")
}
