//! Renders the page, explanations and the audit trail as text for terminals.

use super::format;
use super::html_sections::seen_by;
use super::html_sections::summary;
use super::text_table::TextTable;
use crate::operator::wire::AuditWire;
use crate::operator::wire::ExplanationSetWire;
use crate::operator::wire::ExplanationWire;
use crate::operator::wire::LatencyRow;
use crate::operator::wire::PageWire;
use crate::operator::EndpointState;

/// The most VMs that are listed; of the others only the number is shown.
const VMS_MAX: usize = 40;

/// Renders the page.
pub fn page_text(page: &PageWire) -> String {
    let totals = &page.totals;
    let mut lines = vec![
        page.verdict.clone(),
        format!(
            "Made {}, since 00:00 UTC.",
            format::time(page.made_at_unix_ms)
        ),
    ];
    if !page.missing_vms.is_empty() {
        lines.push(format!("No report from {}.", page.missing_vms.join(", ")));
    }
    lines.push(String::new());
    let facts = [
        ("accepted", format::number(totals.accepted)),
        ("answered in full", format::number(totals.answered)),
        ("not answered in full", format::kinds(&totals.failed)),
        ("hung up by the caller", format::number(totals.cancelled)),
        ("refused", format::kinds(&totals.refused)),
        (
            "refused inside the rate",
            format::number(totals.refused_inside_rate),
        ),
        (
            "served in another region",
            format::percent(totals.other_region_permille),
        ),
        ("tokens", format::number(totals.tokens)),
        ("answers under way", format::number(totals.open_streams)),
        ("bookings", format::bookings(totals.bookings)),
        ("first token", percentiles(totals.first_token)),
        ("between tokens", percentiles(totals.between_tokens)),
    ];
    lines.extend(facts.map(|(label, value)| format!("  {label:<26}{value}")));
    let mut text = lines.join("\n");
    text.push('\n');
    text.push_str(&accounts(page));
    text.push_str(&configuration(page));
    text.push_str(&vms(page));
    text.push_str(&endpoints(page));
    text.push_str(&changes(page));
    text
}

fn percentiles(row: LatencyRow) -> String {
    format!(
        "p50 {}, p95 {}, p99 {}",
        format::latency(row.p50_us),
        format::latency(row.p95_us),
        format::latency(row.p99_us)
    )
}

fn accounts(page: &PageWire) -> String {
    let mut table = TextTable::new(&[
        "client account",
        "accepted",
        "not in full",
        "refused",
        "inside rate",
        "first p95",
        "between p95",
        "held/burst",
    ]);
    for row in &page.accounts {
        table.push(vec![
            row.client_account.clone(),
            format::number(row.accepted),
            format::number(row.failed),
            format::number(row.refused),
            format::number(row.refused_inside_rate),
            format::latency(row.first_token.p95_us),
            format::latency(row.between_tokens.p95_us),
            format!(
                "{}/{}",
                format::number(row.held_tokens),
                format::number(row.burst_tokens)
            ),
        ]);
    }
    format!("\nClient accounts, worst-served first\n{}", table.to_text())
}

fn vms(page: &PageWire) -> String {
    let mut table = TextTable::new(&[
        "VM",
        "region",
        "state",
        "under way",
        "accepted",
        "not in full",
        "first p95",
        "between p95",
    ]);
    for row in page.vms.iter().take(VMS_MAX) {
        table.push(vec![
            row.vm.clone(),
            row.region.clone(),
            row.state.clone(),
            format::number(row.open_streams),
            format::number(row.accepted),
            format::number(row.failed),
            format::latency(row.first_token.p95_us),
            format::latency(row.between_tokens.p95_us),
        ]);
    }
    let mut text = format!("\nVMs\n{}", table.to_text());
    let hidden = page.vms.len().saturating_sub(VMS_MAX);
    if hidden > 0 {
        text.push_str(&format!("  and {}\n", format::vms(hidden)));
    }
    text
}

fn configuration(page: &PageWire) -> String {
    let mut text = "\nConfiguration in force\n".to_owned();
    for (index, row) in page.configuration.iter().enumerate() {
        let behind = if index > 0 {
            format!(" (behind: {})", row.vms.join(", "))
        } else {
            String::new()
        };
        text.push_str(&format!(
            "  ticket {}: {}{behind}\n",
            row.ticket,
            format::vms(row.vms.len())
        ));
    }
    for vm in &page.vms {
        for notice in &vm.notices {
            text.push_str(&format!("  {}: {notice}\n", vm.vm));
        }
    }
    text
}

fn endpoints(page: &PageWire) -> String {
    let is_active = |state: &str| EndpointState::from_text(state) == Some(EndpointState::Active);
    let not_active: Vec<_> = page
        .endpoints
        .iter()
        .filter(|row| !is_active(&row.state))
        .collect();
    let mut text = format!(
        "\nEndpoints: {} active, {} not active\n",
        page.endpoints.len() - not_active.len(),
        not_active.len()
    );
    for row in not_active {
        text.push_str(&format!(
            "  {} in {}: {} for {} of {} VMs\n",
            row.endpoint, row.region, row.state, row.seen_by_vms, row.vms
        ));
    }
    text
}

fn changes(page: &PageWire) -> String {
    let mut text = "\nRecent changes\n".to_owned();
    for row in &page.changes {
        let origin = row.ticket.map_or("system: ", |_| "");
        text.push_str(&format!(
            "  {} {origin}{} ({})\n",
            format::time_of_day(row.first_at_unix_ms),
            summary(row),
            seen_by(row)
        ));
    }
    text
}

/// Renders the explanations of one request.
pub fn explanation_text(set: &ExplanationSetWire) -> String {
    let mut text = format!("Request {}\n", set.request_id);
    if set.explanations.is_empty() {
        text.push_str("No VM that answered knows this request (any more).\n");
    }
    for explanation in &set.explanations {
        text.push_str(&one_explanation(explanation));
    }
    if !set.missing_vms.is_empty() {
        text.push_str(&format!("No answer from {}.\n", set.missing_vms.join(", ")));
    }
    text
}

fn one_explanation(explanation: &ExplanationWire) -> String {
    let mut text = format!(
        "\nVM {}, received {}\n",
        explanation.vm,
        format::time(explanation.received_at_unix_ms)
    );
    for step in &explanation.steps {
        let after = format::latency(Some(step.after_us));
        text.push_str(&format!("  {after:>12}  {}\n", step.text));
        for candidate in &step.candidates {
            let indent = "";
            text.push_str(&format!(
                "  {indent:>12}    {}: {}\n",
                candidate.name, candidate.fate
            ));
        }
    }
    text
}

/// Renders entries of the audit trail.
pub fn audit_text(audit: &AuditWire) -> String {
    let mut text = format!("Audit trail of VM {}\n", audit.vm);
    for entry in &audit.entries {
        let origin = match entry.ticket {
            Some(ticket) => format!("ticket {ticket}"),
            None => "system".to_owned(),
        };
        text.push_str(&format!(
            "  {:>6}  {}  {origin}: {}\n",
            entry.number,
            format::time(entry.at_unix_ms),
            entry.summary
        ));
    }
    text
}
