//! The invariants of a run, checked against what clients received and what endpoints ran.

use std::time::Duration;

use figramp::stand_in::deployment::Work;

use super::history::Exchange;
use super::history::History;
use super::history::Received;
use super::world::World;
use crate::entry::support::KEY;
use crate::entry::work_overlap::longest_overlap;
use crate::entry::work_overlap::OVERLAP_MAX;

/// The time after which a revoked key must not be accepted, as the settings of the daemons have it.
const KEY_REVOCATION: Duration = Duration::from_millis(5_000);

/// How much later than its timeout a request may be answered.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// The time after which a daemon has accepted a request that was sent to it.
const ACCEPT_TIME: Duration = Duration::from_millis(250);

/// How long the effects of a fault may last after its end, until silent connections time out.
const EFFECTS_MAX: Duration = Duration::from_millis(2_000);

/// Returns a description of each violated invariant, with its exchange.
pub(super) fn violations(world: &World, history: &History) -> Vec<String> {
    let mut found = Vec::new();
    for exchange in &history.exchanges {
        let (runs, eastern_runs) = match exchange.sent_again_at {
            Some(until) => world.runs_before(&exchange.id, until),
            None => world.runs(&exchange.id),
        };
        let checks = [
            (runs > exchange.kind.runs_max(), "ran too often"),
            (
                is_false_refusal(exchange, runs),
                "refused as not run, though it ran",
            ),
            (is_corrupted(exchange), "incomplete or wrong answer"),
            (
                is_unjustified_refusal(exchange),
                "refused although route and key are valid",
            ),
            (
                is_out_of_region(exchange, eastern_runs),
                "ran outside its home region",
            ),
            (
                ran_with_revoked_key(history, exchange, runs),
                "ran with a revoked key",
            ),
            (
                ran_after_revocation_refusal(world, history, exchange, runs),
                "a revoked key was accepted again",
            ),
            (
                is_lost(world, history, exchange),
                "no complete answer without a fault on its path",
            ),
            (
                is_unanswered(history, exchange),
                "no answer from a VM that was in order",
            ),
            (is_late(history, exchange), "not answered in time"),
            (
                is_worked_on_twice(world, history, exchange),
                "two endpoints worked on it for too long",
            ),
        ];
        let violated = checks.iter().filter(|(is_violated, _)| *is_violated);
        found.extend(violated.map(|(_, what)| format!("{what}: {exchange:?}, {runs} runs")));
    }
    found
}

fn status(exchange: &Exchange) -> Option<u16> {
    match &exchange.received {
        Received::Complete { status, .. } | Received::Truncated { status, .. } => Some(*status),
        Received::Nothing => None,
    }
}

fn is_false_refusal(exchange: &Exchange, runs: u32) -> bool {
    let statuses = [401, 404, 408, 421, 429, 503];
    runs > 0 && status(exchange).is_some_and(|status| statuses.contains(&status))
}

fn is_corrupted(exchange: &Exchange) -> bool {
    let complete = World::complete_body(exchange.kind);
    match &exchange.received {
        Received::Complete { status: 200, body } => of_one_version(body) != complete,
        Received::Truncated { status: 200, body } => {
            !complete.starts_with(of_one_version(body).as_str())
        }
        _ => false,
    }
}

/// Returns a body without the software version that wrote it, if it is the same in all events.
fn of_one_version(body: &str) -> String {
    let first = body.lines().find_map(|line| line.split_once(" of "));
    match first {
        Some((_, version)) => body.replace(&format!(" of {version}"), ""),
        None => body.to_owned(),
    }
}

fn is_unjustified_refusal(exchange: &Exchange) -> bool {
    match status(exchange) {
        Some(404) => true,
        Some(401) => exchange.key == KEY,
        _ => false,
    }
}

fn is_out_of_region(exchange: &Exchange, eastern_runs: u32) -> bool {
    exchange.kind == super::history::RequestKind::Homed && eastern_runs > 0
}

fn ran_with_revoked_key(history: &History, exchange: &Exchange, runs: u32) -> bool {
    let revocations = history.revocations.iter();
    runs > 0
        && revocations
            .filter(|revocation| revocation.key == exchange.key)
            .any(|revocation| exchange.sent_at > revocation.at + KEY_REVOCATION)
}

/// Returns whether a process ran a request with a key of which it had shown before that it knew the
/// revocation: it had refused the key after it had run a request with it, or had run a request with a
/// key that was issued later.
///
/// A refusal alone shows nothing: a process that has not applied the configuration yet that issues a
/// key refuses it too.
fn ran_after_revocation_refusal(
    world: &World,
    history: &History,
    exchange: &Exchange,
    runs: u32,
) -> bool {
    let revocations = history.revocations.iter();
    let revoked_at = revocations
        .filter(|revocation| revocation.key == exchange.key)
        .map(|revocation| revocation.at)
        .min();
    let Some(revoked_at) = revoked_at.filter(|_| runs > 0) else {
        return false;
    };
    let earlier = || {
        history.exchanges.iter().filter(|earlier| {
            earlier.vm == exchange.vm
                && earlier.starts.0 == exchange.starts.1
                && earlier.ended_at < exchange.sent_at
        })
    };
    let has_run = |earlier: &Exchange| world.runs(&earlier.id).0 > 0;
    let is_refusal = |refusal: &Exchange| {
        refusal.key == exchange.key
            && status(refusal) == Some(401)
            && refusal.sent_at > revoked_at
            && !has_run(refusal)
    };
    let refusals = earlier().filter(|refusal| is_refusal(refusal));
    let refused_a_known_key = refusals.into_iter().any(|refusal| {
        earlier().any(|known| {
            known.key == exchange.key && known.ended_at < refusal.sent_at && has_run(known)
        })
    });
    let ran_a_newer_key = || {
        earlier()
            .any(|newer| issue_number(&newer.key) > issue_number(&exchange.key) && has_run(newer))
    };
    refused_a_known_key || ran_a_newer_key()
}

/// Returns the number of the configuration that issued a key; zero for the one that is never revoked.
fn issue_number(key: &str) -> u64 {
    let number = key
        .rsplit_once('-')
        .and_then(|(_, number)| number.parse().ok());
    number.unwrap_or(0)
}

/// Returns whether a request that ran has no complete answer although no fault disturbed its path.
/// Orderly stops, reloads, configuration changes, silent endpoints and an unreachable store must not
/// interrupt answers.
fn is_lost(world: &World, history: &History, exchange: &Exchange) -> bool {
    let is_incomplete = matches!(
        exchange.received,
        Received::Nothing | Received::Truncated { .. }
    );
    let reached = world.reached(&exchange.id);
    if !is_incomplete || reached.is_empty() {
        return false;
    }
    let vm_faults = history.vm_faults.iter();
    let vm_faults = vm_faults.filter(|(vm, _)| may_have_served(world, exchange, &reached, *vm));
    let endpoint_faults = history.endpoint_faults.iter();
    let endpoint_faults = endpoint_faults.filter(|(endpoint, _)| reached.contains(endpoint));
    let mut spans = vm_faults.chain(endpoint_faults).map(|(_, span)| span);
    !spans.any(|span| span.overlaps(exchange, EFFECTS_MAX))
}

/// Returns whether a VM got a request from its client, or may have got it as a forward: a VM of the region of
/// an endpoint that the request reached, if its client asked another region.
fn may_have_served(world: &World, exchange: &Exchange, reached: &[usize], vm: usize) -> bool {
    let zone = world.vms[vm].zone;
    let own_zone = world.vms[exchange.vm].zone;
    let mut zones = reached
        .iter()
        .map(|endpoint| world.endpoints[*endpoint].zone);
    vm == exchange.vm || (zone != own_zone && zones.any(|reached| reached == zone))
}

/// Returns whether a VM did not answer at all, though it neither failed nor was stopped before it had
/// accepted the request.
fn is_unanswered(history: &History, exchange: &Exchange) -> bool {
    let mut vm_faults = history.vm_faults.iter();
    let has_failed =
        vm_faults.any(|(vm, span)| *vm == exchange.vm && span.overlaps(exchange, EFFECTS_MAX));
    let mut vm_stops = history.vm_stops.iter();
    let is_stopped = vm_stops.any(|(vm, span)| {
        let accepted_by = exchange.sent_at + ACCEPT_TIME;
        *vm == exchange.vm && span.touches(exchange.sent_at, accepted_by, EFFECTS_MAX)
    });
    exchange.received == Received::Nothing && !has_failed && !is_stopped
}

fn is_late(history: &History, exchange: &Exchange) -> bool {
    let faults_of_vm = history
        .vm_faults
        .iter()
        .filter(|(vm, _)| *vm == exchange.vm);
    let is_disturbed = faults_of_vm
        .map(|(_, span)| span)
        .any(|span| span.overlaps(exchange, EFFECTS_MAX));
    !is_disturbed && exchange.ended_at - exchange.sent_at > exchange.timeout + ANSWER_SLACK
}

/// Returns whether two endpoints worked on a request at the same time for too long, though no fault kept a
/// daemon or a link from stopping one of them.
fn is_worked_on_twice(world: &World, history: &History, exchange: &Exchange) -> bool {
    let reached = world.reached(&exchange.id);
    if reached.len() < 2 {
        return false;
    }
    let works: Vec<Work> = reached
        .iter()
        .flat_map(|endpoint| world.endpoints[*endpoint].server.works())
        .filter(|work| work.request_id == exchange.id)
        .collect();
    let mut vm_faults = history.vm_faults.iter();
    let mut link_faults = history.link_faults.iter();
    let is_disturbed = vm_faults.any(|(vm, span)| {
        may_have_served(world, exchange, &reached, *vm) && span.overlaps(exchange, EFFECTS_MAX)
    }) || link_faults
        .any(|(endpoint, span)| reached.contains(endpoint) && span.overlaps(exchange, EFFECTS_MAX));
    !is_disturbed && longest_overlap(&works) > OVERLAP_MAX
}
