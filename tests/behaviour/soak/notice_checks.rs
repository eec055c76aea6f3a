//! The checks of what endpoints asked in their answers.
//!
//! Only a VM of an endpoint's region sends to it, so the VM that sent a request is known if the
//! client asked a VM of that region.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::Arrival;

use super::history::Exchange;
use super::history::History;
use super::history::Received;
use super::world::World;

/// `drainMs` of the users: the time after which a VM that passed on an announcement sends the
/// endpoint no request.
const DRAIN: Duration = Duration::from_millis(3_000);

/// The time after a refusal from which on the VM keeps to its `Retry-After`.
const REFUSAL_SLACK: Duration = Duration::from_millis(500);

/// How many requests may arrive in the rest of that time.
const REFUSING_MAX_ARRIVALS: usize = 2;

/// How long a disturbed link may delay bytes after its end.
const LINK_EFFECTS_MAX: Duration = Duration::from_millis(500);

/// A process of a VM: the VM's index and how often it was started.
pub(super) type Process = (usize, u32);

/// A request that arrived at an endpoint, the exchange that it belongs to, and its sender.
struct Sent<'a> {
    arrival: &'a Arrival,
    exchange: &'a Exchange,
    process: Process,
}

/// Returns a description of each violated request of an endpoint.
pub(super) fn violations(world: &World, history: &History) -> Vec<String> {
    let exchanges = history.exchanges.iter();
    let exchanges: HashMap<&str, &Exchange> = exchanges
        .map(|exchange| (exchange.id.as_str(), exchange))
        .collect();
    let arrivals: Vec<Vec<Arrival>> = world
        .endpoints
        .iter()
        .map(|endpoint| endpoint.server.arrivals())
        .collect();
    let mut arrival_counts: HashMap<&str, u32> = HashMap::new();
    for arrival in arrivals.iter().flatten() {
        *arrival_counts.entry(&arrival.request_id).or_default() += 1;
    }
    let mut found = Vec::new();
    for (endpoint, arrivals) in arrivals.iter().enumerate() {
        let sent: Vec<Sent<'_>> = arrivals
            .iter()
            .filter_map(|arrival| {
                let exchange = *exchanges.get(arrival.request_id.as_str())?;
                let process = sender(world, endpoint, exchange)?;
                Some(Sent {
                    arrival,
                    exchange,
                    process,
                })
            })
            .collect();
        found.extend(sent_to_leaving(endpoint, &sent, &arrival_counts));
        found.extend(sent_to_refusing(history, endpoint, &sent));
    }
    found
}

/// Returns the process that sent a request to an endpoint, if it is known.
pub(super) fn sender(world: &World, endpoint: usize, exchange: &Exchange) -> Option<Process> {
    let is_same_region = world.vms[exchange.vm].zone == world.endpoints[endpoint].zone;
    let is_one_process = exchange.starts.0 == exchange.starts.1;
    (is_same_region && is_one_process).then_some((exchange.vm, exchange.starts.0))
}

/// Returns the requests that a client sent later than [`DRAIN`] after the same process had passed on
/// an answer in which the endpoint announced its stop.
fn sent_to_leaving(
    endpoint: usize,
    sent: &[Sent<'_>],
    arrival_counts: &HashMap<&str, u32>,
) -> Vec<String> {
    let mut told_at: HashMap<(Process, u64), Instant> = HashMap::new();
    for one in sent {
        let is_only_arrival = arrival_counts[one.arrival.request_id.as_str()] == 1;
        let is_passed_on = matches!(
            one.exchange.received,
            Received::Complete { status: 200, .. }
        );
        if one.arrival.is_leaving && is_only_arrival && is_passed_on {
            let told = told_at
                .entry((one.process, one.arrival.replaced_count))
                .or_insert(one.exchange.ended_at);
            *told = one.exchange.ended_at.min(*told);
        }
    }
    let is_late = |one: &&Sent<'_>| {
        let told = told_at.get(&(one.process, one.arrival.replaced_count));
        told.is_some_and(|told| one.exchange.sent_at > *told + DRAIN)
    };
    sent.iter()
        .filter(is_late)
        .map(|one| format!("sent to leaving endpoint {endpoint}: {:?}", one.exchange))
        .collect()
}

/// Returns the refusals after which the same process sent the endpoint too many requests before the
/// end of their `Retry-After`.
fn sent_to_refusing(history: &History, endpoint: usize, sent: &[Sent<'_>]) -> Vec<String> {
    let mut found = Vec::new();
    for refused in sent {
        let Some(pause) = refused.arrival.retry_after else {
            continue;
        };
        let at = refused.arrival.at;
        let within: Vec<&Exchange> = sent
            .iter()
            .filter(|one| one.process == refused.process)
            .filter(|one| one.arrival.replaced_count == refused.arrival.replaced_count)
            .filter(|one| one.arrival.at > at + REFUSAL_SLACK && one.arrival.at < at + pause)
            .filter(|one| !is_disturbed(history, endpoint, refused.process, at, one.arrival.at))
            .map(|one| one.exchange)
            .collect();
        if within.len() > REFUSING_MAX_ARRIVALS {
            found.push(format!(
                "{} requests to endpoint {endpoint} within {pause:?} of a refusal: {:?}, {within:?}",
                within.len(),
                refused.exchange,
            ));
        }
    }
    found
}

/// Returns whether the VM was paused or its link to the endpoint was disturbed in this time.
pub(super) fn is_disturbed(
    history: &History,
    endpoint: usize,
    process: Process,
    from: Instant,
    until: Instant,
) -> bool {
    let vm_spans = history.vm_faults.iter();
    let mut vm_spans = vm_spans.filter(|(vm, _)| *vm == process.0);
    let link_spans = history.link_faults.iter();
    let mut link_spans = link_spans.filter(|(disturbed, _)| *disturbed == endpoint);
    vm_spans.any(|(_, span)| span.touches(from, until, Duration::ZERO))
        || link_spans.any(|(_, span)| span.touches(from, until, LINK_EFFECTS_MAX))
}
