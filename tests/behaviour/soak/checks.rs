//! What must hold, from what clients and endpoints saw.

use std::time::Duration;

use super::history::Exchange;
use super::history::History;
use super::history::Seen;
use super::world::World;
use crate::entry::support::KEY;

/// The time after which a withdrawn key must not run, as the settings of the daemons have it.
const KEY_WITHDRAWAL: Duration = Duration::from_millis(5_000);

/// The time in which a request has its final answer: its own and half a second.
const ANSWER_MAX: Duration = Duration::from_millis(4_000);

/// The time after a fault in which its effects end: connections that went silent break.
const EFFECTS: Duration = Duration::from_millis(2_000);

/// Returns what was violated.
pub(super) fn violations(world: &World, history: &History) -> Vec<String> {
    let mut found = Vec::new();
    for exchange in &history.exchanges {
        let (runs, eastern_runs) = world.runs(&exchange.id);
        let checks = [
            (runs > exchange.ask.runs_max(), "ran too often"),
            (
                is_false_refusal(exchange, runs),
                "refused as not run, though it ran",
            ),
            (is_spoilt(exchange), "an answer that is not the whole one"),
            (
                is_wrongful_refusal(exchange),
                "refused though route and key are there",
            ),
            (
                is_out_of_region(exchange, eastern_runs),
                "ran in a region that is not its home",
            ),
            (
                is_withdrawn(history, exchange, runs),
                "ran with a withdrawn key",
            ),
            (
                is_regress(world, history, exchange, runs),
                "a withdrawn key was taken again",
            ),
            (
                is_lost(history, exchange, runs),
                "lost without a fault on its way",
            ),
            (is_late(history, exchange), "held past its time"),
        ];
        let broken = checks.iter().filter(|(is_broken, _)| *is_broken);
        found.extend(broken.map(|(_, what)| format!("{what}: {exchange:?}, {runs} runs")));
    }
    found
}

fn status(exchange: &Exchange) -> Option<u16> {
    match &exchange.seen {
        Seen::Answer { status, .. } | Seen::BrokenOff { status, .. } => Some(*status),
        Seen::Nothing => None,
    }
}

fn is_false_refusal(exchange: &Exchange, runs: u32) -> bool {
    runs > 0 && matches!(status(exchange), Some(401 | 404 | 429 | 503))
}

fn is_spoilt(exchange: &Exchange) -> bool {
    let whole = World::whole_body(exchange.ask);
    match &exchange.seen {
        Seen::Answer { status: 200, body } => *body != whole,
        Seen::BrokenOff { status: 200, body } => !whole.starts_with(body.as_str()),
        _ => false,
    }
}

fn is_wrongful_refusal(exchange: &Exchange) -> bool {
    match status(exchange) {
        Some(404) => true,
        Some(401) => exchange.key == KEY,
        _ => false,
    }
}

fn is_out_of_region(exchange: &Exchange, eastern_runs: u32) -> bool {
    exchange.ask == super::history::Ask::Homed && eastern_runs > 0
}

fn is_withdrawn(history: &History, exchange: &Exchange, runs: u32) -> bool {
    let withdrawn = history.withdrawals.iter();
    runs > 0
        && withdrawn
            .filter(|withdrawal| withdrawal.key == exchange.key)
            .any(|withdrawal| exchange.sent_at > withdrawal.at + KEY_WITHDRAWAL)
}

/// Returns whether a process ran a request with a key that it had refused as withdrawn before.
fn is_regress(world: &World, history: &History, exchange: &Exchange, runs: u32) -> bool {
    let withdrawn = history.withdrawals.iter();
    let withdrawn_at = withdrawn
        .filter(|withdrawal| withdrawal.key == exchange.key)
        .map(|withdrawal| withdrawal.at)
        .min();
    let Some(withdrawn_at) = withdrawn_at.filter(|_| runs > 0) else {
        return false;
    };
    history.exchanges.iter().any(|earlier| {
        earlier.vm == exchange.vm
            && earlier.key == exchange.key
            && earlier.starts.0 == exchange.starts.1
            && status(earlier) == Some(401)
            && earlier.sent_at > withdrawn_at
            && earlier.ended_at < exchange.sent_at
            && world.runs(&earlier.id).0 == 0
    })
}

/// Returns whether a request that ran has no whole answer, though nothing on its way was disturbed:
/// stops, reloads, changes and an unreachable store cut nothing.
fn is_lost(history: &History, exchange: &Exchange, runs: u32) -> bool {
    let is_cut = matches!(exchange.seen, Seen::Nothing | Seen::BrokenOff { .. });
    let vm_spans = history.vm_faults.iter().map(|(_, span)| span);
    let mut spans = vm_spans.chain(&history.endpoint_faults);
    runs > 0 && is_cut && !spans.any(|span| span.meets(exchange, EFFECTS))
}

fn is_late(history: &History, exchange: &Exchange) -> bool {
    let own = history
        .vm_faults
        .iter()
        .filter(|(vm, _)| *vm == exchange.vm);
    let is_disturbed = own
        .map(|(_, span)| span)
        .any(|span| span.meets(exchange, EFFECTS));
    !is_disturbed && exchange.ended_at - exchange.sent_at > ANSWER_MAX
}
