//! Formats numbers and times for display.

use std::time::Duration;
use std::time::SystemTime;

use humantime::format_rfc3339_seconds;

use crate::operator::wire::BookingsRow;
use crate::operator::wire::KindCount;

const US_PER_MS: u64 = 1_000;
const SHORT_LATENCY_US: u64 = 100 * US_PER_MS;
const PERMILLE_PER_PERCENT: u64 = 10;
const NONE: &str = "–";

/// Groups the digits of a number by thousands.
pub(super) fn number(value: u64) -> String {
    let digits = value.to_string();
    let mut text = String::with_capacity(digits.len() + digits.len() / 3);
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

/// Returns a latency in milliseconds.
pub(super) fn latency(latency_us: Option<u64>) -> String {
    match latency_us {
        None => NONE.to_owned(),
        Some(us) if us < SHORT_LATENCY_US => {
            format!("{}.{} ms", us / US_PER_MS, us % US_PER_MS / 100)
        }
        Some(us) => format!("{} ms", number(us / US_PER_MS)),
    }
}

/// Returns thousandths as a percentage.
pub(super) fn percent(permille: u64) -> String {
    format!(
        "{}.{} %",
        permille / PERMILLE_PER_PERCENT,
        permille % PERMILLE_PER_PERCENT
    )
}

/// Returns a point in time, in UTC.
pub(super) fn time(unix_ms: u64) -> String {
    let time = SystemTime::UNIX_EPOCH + Duration::from_millis(unix_ms);
    format_rfc3339_seconds(time).to_string().replace('T', " ")
}

/// Returns the time of day, in UTC.
pub(super) fn time_of_day(unix_ms: u64) -> String {
    let time = time(unix_ms);
    let clock = time.split(' ').nth(1).unwrap_or_default();
    clock.trim_end_matches('Z').to_owned()
}

/// Returns counts by error kind, or `none`.
pub(super) fn kinds(counts: &[KindCount]) -> String {
    if counts.is_empty() {
        return "none".to_owned();
    }
    let counts: Vec<String> = counts
        .iter()
        .map(|count| format!("{} {}", number(count.count), count.kind.replace('_', " ")))
        .collect();
    counts.join(", ")
}

/// Returns the sum of counts.
pub(super) fn sum(counts: &[KindCount]) -> u64 {
    counts.iter().map(|count| count.count).sum()
}

/// Returns the outcomes of bookings.
pub(super) fn bookings(row: BookingsRow) -> String {
    format!(
        "{} run, {} repeated, {} unknown",
        number(row.run),
        number(row.repeated),
        number(row.unknown)
    )
}

/// Returns a number of VMs with its noun.
pub(super) fn vms(count: usize) -> String {
    let noun = if count == 1 { "VM" } else { "VMs" };
    format!("{count} {noun}")
}
