//! The sections of the operators' page.

use maud::html;
use maud::Markup;

use super::format;
use super::svg;
use crate::operator::wire::AccountRow;
use crate::operator::wire::ChangeRow;
use crate::operator::wire::EndpointRow;
use crate::operator::wire::PageWire;
use crate::operator::wire::VmRow;
use crate::operator::EndpointState;
use crate::operator::BETWEEN_TOKENS_TARGET_US;
use crate::operator::FIRST_TOKEN_TARGET_US;

/// Renders the request totals and the requests of each hour.
pub(super) fn requests(page: &PageWire) -> Markup {
    let totals = &page.totals;
    let failed = format::sum(&totals.failed);
    let refused = format::sum(&totals.refused);
    html! {
        section {
            h2 { "Requests" }
            dl class="facts" {
                (fact("Accepted", totals.accepted, "", ""))
                (fact("Answered in full", totals.answered, "", ""))
                (fact("Not answered in full", failed, alarm(failed), &format::kinds(&totals.failed)))
                (fact("Hung up by the caller", totals.cancelled, "", ""))
                (fact("Refused", refused, "", &format::kinds(&totals.refused)))
                (fact(
                    "Refused inside the rate",
                    totals.refused_inside_rate,
                    warn(totals.refused_inside_rate),
                    "",
                ))
                div {
                    dt { "Served in another region" }
                    dd { (format::percent(totals.other_region_permille)) }
                }
                (fact("Tokens", totals.tokens, "", ""))
                (fact("Answers under way", totals.open_streams, "", ""))
                div class=(alarm(totals.bookings.unknown)) {
                    dt { "Bookings run" }
                    dd {
                        (format::number(totals.bookings.run))
                        small {
                            (format::number(totals.bookings.repeated)) " repeated, "
                            (format::number(totals.bookings.unknown)) " unknown"
                        }
                    }
                }
            }
            p class="note" {
                "By the hour, UTC: answered, refused (amber), not answered in full (red); at most "
                (format::number(svg::busiest_hour(&page.hours))) " in one hour"
            }
            (svg::hours(&page.hours))
        }
    }
}

/// Renders the table of client accounts.
pub(super) fn accounts(page: &PageWire) -> Markup {
    html! {
        section {
            h2 { "Client accounts, worst-served first" }
            div class="wide" {
                table class="cards" {
                    thead {
                        tr {
                            th { "Client account" }
                            th class="n" { "Accepted" }
                            th class="n" { "Not in full" }
                            th class="n" { "Refused" }
                            th class="n" { "… inside the rate" }
                            th class="n" { "First token p95" }
                            th class="n" { "Between tokens p95" }
                            th class="n" { "Tokens" }
                            th class="n" { "Held / burst" }
                        }
                    }
                    tbody {
                        @for row in &page.accounts { (account(row)) }
                    }
                }
            }
            @if page.accounts.is_empty() { p class="note" { "No client account is known yet." } }
        }
    }
}

fn account(row: &AccountRow) -> Markup {
    let held = format!(
        "{} / {}",
        format::number(row.held_tokens),
        format::number(row.burst_tokens)
    );
    html! {
        tr {
            td class="name" { (row.client_account) }
            (cell("Accepted", &format::number(row.accepted), ""))
            (cell("Not in full", &format::number(row.failed), off(row.failed)))
            (cell("Refused", &format::number(row.refused), ""))
            (cell(
                "Refused inside the rate",
                &format::number(row.refused_inside_rate),
                late(row.refused_inside_rate > 0),
            ))
            (cell(
                "First token p95",
                &format::latency(row.first_token.p95_us),
                late(row.first_token.p95_us > Some(FIRST_TOKEN_TARGET_US)),
            ))
            (cell(
                "Between tokens p95",
                &format::latency(row.between_tokens.p95_us),
                late(row.between_tokens.p95_us > Some(BETWEEN_TOKENS_TARGET_US)),
            ))
            (cell("Tokens", &format::number(row.tokens), ""))
            (cell("Held / burst, tokens", &held, ""))
        }
    }
}

/// Renders latencies with their targets.
pub(super) fn latencies(page: &PageWire) -> Markup {
    html! {
        section class="plots" {
            div {
                h2 { "First token" }
                (svg::latencies(page.totals.first_token, FIRST_TOKEN_TARGET_US))
            }
            div {
                h2 { "Between tokens" }
                (svg::latencies(page.totals.between_tokens, BETWEEN_TOKENS_TARGET_US))
            }
        }
    }
}

/// Renders the configuration in force on each VM, and the table of VMs.
pub(super) fn configuration(page: &PageWire) -> Markup {
    let with_notices = page.vms.iter().filter(|vm| !vm.notices.is_empty());
    html! {
        section {
            h2 { "Configuration in force" }
            ul {
                @for (index, row) in page.configuration.iter().enumerate() {
                    li {
                        "Ticket " strong { (row.ticket) } ": " (format::vms(row.vms.len()))
                        @if index > 0 {
                            span class="late" { " (behind: " (row.vms.join(", ")) ")" }
                        }
                    }
                }
                @for vm in with_notices {
                    @for notice in &vm.notices {
                        li { strong { (vm.vm) } ": " (notice) }
                    }
                }
            }
            details {
                summary { "All VMs" }
                div class="wide" {
                    table {
                        thead {
                            tr {
                                th { "VM" }
                                th { "Region" }
                                th { "State" }
                                th class="n" { "Ticket" }
                                th class="n" { "Answers under way" }
                                th class="n" { "Accepted" }
                                th class="n" { "Not in full" }
                                th class="n" { "First token p95" }
                                th class="n" { "Between tokens p95" }
                            }
                        }
                        tbody { @for row in &page.vms { (vm(row)) } }
                    }
                }
            }
        }
    }
}

fn vm(row: &VmRow) -> Markup {
    html! {
        tr {
            td class="name" { (row.vm) }
            td { (row.region) }
            td { (row.state) }
            td class="n" { (row.ticket_in_force) }
            td class="n" { (format::number(row.open_streams)) }
            td class="n" { (format::number(row.accepted)) }
            td class="n" { span class=(off(row.failed)) { (format::number(row.failed)) } }
            td class="n" { (format::latency(row.first_token.p95_us)) }
            td class="n" { (format::latency(row.between_tokens.p95_us)) }
        }
    }
}

/// Renders the endpoints; only the table of active ones is collapsed.
pub(super) fn endpoints(page: &PageWire) -> Markup {
    let (active, others): (Vec<_>, Vec<_>) = page
        .endpoints
        .iter()
        .partition(|row| row.state == EndpointState::Active.as_str());
    html! {
        section {
            h2 { "Endpoints" }
            p { (active.len()) " active, " (others.len()) " not active" }
            @if !others.is_empty() { (endpoint_table(&others)) }
            @if !active.is_empty() {
                details {
                    summary { "Active endpoints" }
                    (endpoint_table(&active))
                }
            }
        }
    }
}

fn endpoint_table(rows: &[&EndpointRow]) -> Markup {
    html! {
        div class="wide" {
            table {
                thead {
                    tr {
                        th { "Endpoint" }
                        th { "Region" }
                        th { "State" }
                        th class="n" { "Running" }
                    }
                }
                tbody {
                    @for row in rows {
                        tr {
                            td class="name" { (row.endpoint) }
                            td { (row.region) }
                            td {
                                (row.state)
                                @if row.seen_by_vms < row.vms {
                                    " for " (row.seen_by_vms) " of " (row.vms) " VMs"
                                }
                            }
                            td class="n" {
                                (format::number(row.running)) " / " (format::number(row.concurrency))
                            }
                        }
                    }
                }
            }
        }
    }
}

/// Renders recent changes.
pub(super) fn changes(page: &PageWire) -> Markup {
    let (by_ticket, by_system): (Vec<_>, Vec<_>) =
        page.changes.iter().partition(|row| row.ticket.is_some());
    html! {
        section {
            h2 { "Changes by tickets" }
            (change_list(&by_ticket))
        }
        section {
            h2 { "Changes that the system made by itself" }
            (change_list(&by_system))
        }
    }
}

fn change_list(rows: &[&ChangeRow]) -> Markup {
    html! {
        @if rows.is_empty() { p class="note" { "None lately." } }
        ul {
            @for row in rows {
                li {
                    (format::time_of_day(row.first_at_unix_ms)) " "
                    (summary(row))
                    " (" (seen_by(row)) ")"
                }
            }
        }
    }
}

/// Returns the summary of a change, prefixed with its ticket unless the summary names it.
pub(super) fn summary(row: &ChangeRow) -> String {
    match row.ticket.map(|ticket| format!("ticket {ticket}")) {
        Some(ticket) if !row.summary.contains(&ticket) => format!("{ticket}: {}", row.summary),
        _ => row.summary.clone(),
    }
}

/// Returns the VM that recorded a change, or the number of VMs and the time between them.
pub(super) fn seen_by(row: &ChangeRow) -> String {
    match row.vms.as_slice() {
        [vm] => vm.clone(),
        vms => format!(
            "{} VMs within {} ms",
            vms.len(),
            format::number(row.last_at_unix_ms - row.first_at_unix_ms)
        ),
    }
}

fn fact(label: &str, value: u64, class: &str, detail: &str) -> Markup {
    html! {
        div class=(class) {
            dt { (label) }
            dd {
                (format::number(value))
                @if !detail.is_empty() && value > 0 { small { (detail) } }
            }
        }
    }
}

fn cell(label: &str, value: &str, class: &str) -> Markup {
    html! {
        td class="n" data-label=(label) { span class=(class) { (value) } }
    }
}

const fn alarm(count: u64) -> &'static str {
    if count > 0 {
        "alarm"
    } else {
        ""
    }
}

const fn warn(count: u64) -> &'static str {
    if count > 0 {
        "warn"
    } else {
        ""
    }
}

const fn off(count: u64) -> &'static str {
    if count > 0 {
        "off"
    } else {
        ""
    }
}

const fn late(is_late: bool) -> &'static str {
    if is_late {
        "late"
    } else {
        ""
    }
}
