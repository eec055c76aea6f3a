//! Plots as inline SVG.

use maud::html;
use maud::Markup;

use crate::operator::wire::HourRow;
use crate::operator::wire::LatencyRow;

const HOUR_STEP: u64 = 15;
const BAR_WIDTH: u64 = 11;
const BAR_OFFSET: u64 = 2;
const PLOT_HEIGHT: u64 = 90;
const AXIS_HEIGHT: u64 = 18;
const LABEL_STEP_HOURS: usize = 6;
const LATENCY_WIDTH: u64 = 360;
const LATENCY_ROW_HEIGHT: u64 = 22;
const LATENCY_LABEL_WIDTH: u64 = 30;
const LATENCY_VALUE_WIDTH: u64 = 70;

/// Returns the largest number of requests in one hour.
pub(super) fn busiest_hour(rows: &[HourRow]) -> u64 {
    rows.iter()
        .map(|row| row.answered + row.refused + row.failed)
        .max()
        .unwrap_or(0)
}

/// Draws the requests of each hour of the day as stacked bars.
pub(super) fn hours(rows: &[HourRow]) -> Markup {
    let most = busiest_hour(rows).max(1);
    let width = HOUR_STEP * u64::try_from(rows.len()).unwrap_or(0);
    let height = PLOT_HEIGHT + AXIS_HEIGHT;
    html! {
        svg viewBox=(format!("0 0 {width} {height}")) role="img"
            aria-label="Requests by the hour" {
            line x1="0" x2=(width) y1=(PLOT_HEIGHT) y2=(PLOT_HEIGHT) stroke="var(--line)" {}
            @for (index, row) in rows.iter().enumerate() {
                (hour(index, *row, most))
            }
        }
    }
}

fn hour(index: usize, row: HourRow, most: u64) -> Markup {
    let x = u64::try_from(index).unwrap_or(0) * HOUR_STEP;
    let parts = [
        (row.answered, "var(--bar)"),
        (row.refused, "var(--warn)"),
        (row.failed, "var(--bad)"),
    ];
    let mut top = PLOT_HEIGHT;
    let bars = parts.map(|(count, colour)| {
        let height = scaled(count, most, PLOT_HEIGHT).min(top);
        top -= height;
        (top, height, colour)
    });
    html! {
        @for (y, height, colour) in bars {
            @if height > 0 {
                rect x=(x + BAR_OFFSET) y=(y) width=(BAR_WIDTH) height=(height) fill=(colour) {}
            }
        }
        @if index.is_multiple_of(LABEL_STEP_HOURS) {
            text x=(x + BAR_OFFSET) y=(PLOT_HEIGHT + AXIS_HEIGHT - 5) { (format!("{index:02}:00")) }
        }
    }
}

/// Draws percentiles of a latency, and the target of the 95th as a line.
pub(super) fn latencies(row: LatencyRow, target_us: u64) -> Markup {
    let bars = [
        ("p50", row.p50_us),
        ("p95", row.p95_us),
        ("p99", row.p99_us),
    ];
    let longest = bars.iter().filter_map(|(_, us)| *us).max().unwrap_or(0);
    let longest = longest.max(target_us).max(1);
    let height = LATENCY_ROW_HEIGHT * 3 + AXIS_HEIGHT;
    let plot_width = LATENCY_WIDTH - LATENCY_LABEL_WIDTH - LATENCY_VALUE_WIDTH;
    let target_x = LATENCY_LABEL_WIDTH + scaled(target_us, longest, plot_width);
    let anchor = if target_us * 2 > longest {
        "end"
    } else {
        "start"
    };
    html! {
        svg viewBox=(format!("0 0 {LATENCY_WIDTH} {height}")) role="img"
            aria-label="Latency percentiles" {
            @for (index, (label, us)) in (0..).zip(bars) {
                @let y = LATENCY_ROW_HEIGHT * index;
                @let bar = scaled(us.unwrap_or(0), longest, plot_width);
                text x="0" y=(y + 15) { (label) }
                rect x=(LATENCY_LABEL_WIDTH) y=(y + 4) width=(bar) height="14" rx="2"
                    fill=(colour(label, us, target_us)) {}
                text x=(LATENCY_WIDTH) y=(y + 15) text-anchor="end" { (super::format::latency(us)) }
            }
            line x1=(target_x) x2=(target_x) y1="0" y2=(LATENCY_ROW_HEIGHT * 3)
                stroke="var(--soft)" stroke-dasharray="3 3" {}
            text x=(target_x) y=(height - 4) text-anchor=(anchor) {
                "target p95 " (super::format::latency(Some(target_us)))
            }
        }
    }
}

fn colour(label: &str, latency_us: Option<u64>, target_us: u64) -> &'static str {
    let is_over = latency_us.is_some_and(|us| us > target_us);
    if label == "p95" && is_over {
        "var(--warn)"
    } else {
        "var(--bar)"
    }
}

/// Scales a value so that `most` becomes `length`; a value over 0 becomes at least 1.
fn scaled(value: u64, most: u64, length: u64) -> u64 {
    let scaled = u128::from(value) * u128::from(length) / u128::from(most);
    let scaled = u64::try_from(scaled).unwrap_or(length);
    scaled.max(u64::from(value > 0))
}
