//! Endpoints that name in their answers the rate that they take, and the check that VMs keep it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::Arrival;
use http::HeaderValue;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::RngExt;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::history::Exchange;
use super::history::History;
use super::notice_checks::is_disturbed;
use super::notice_checks::sender;
use super::notice_checks::Process;
use super::world::World;

/// The time after which all VMs keep to a rate, as the users' `stableWindowMs`.
const STABLE_WINDOW: Duration = Duration::from_millis(5_000);

/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The time after an answer from which its VM counts as told.
const TOLD_AFTER: Duration = Duration::from_millis(500);

/// How long an endpoint names a rate: long enough for a part of a window to count.
const LENGTH_MS: std::ops::Range<u64> = 9_000..11_500;

const GAP_MS: std::ops::Range<u64> = 50..400;

/// The rates that are named; the last one is none.
const RATES: [&str; 5] = ["1", "1.5", "2", "5.7", "-1"];

/// Lets endpoints name rates for `time`; all have ended by then.
pub(super) async fn inject(world: Arc<World>, mut rng: StdRng, time: Duration) {
    let started = Instant::now();
    let mut running = JoinSet::new();
    let mut has_named = vec![false; world.endpoints.len()];
    while started.elapsed() < time {
        let endpoint = rng.random_range(0..world.endpoints.len());
        let rate = *RATES.choose(&mut rng).expect("a rate");
        let length = Duration::from_millis(rng.random_range(LENGTH_MS));
        let gap = Duration::from_millis(rng.random_range(GAP_MS));
        if !has_named[endpoint] && started.elapsed() + length < time {
            has_named[endpoint] = true;
            let at_ms = started.elapsed().as_millis();
            world.record_action(format!(
                "{at_ms} ms: endpoint {endpoint} names {rate} {length:?}"
            ));
            let world = Arc::clone(&world);
            running.spawn(async move {
                let slot = &world.endpoints[endpoint];
                slot.set_rate(Some(HeaderValue::from_static(rate)));
                sleep(length).await;
                slot.set_rate(None);
            });
        }
        sleep(gap).await;
    }
    while let Some(ended) = running.join_next().await {
        ended.expect("a rate ends");
    }
}

/// Returns a description of each window in which an endpoint got too many requests from processes
/// that knew its rate.
pub(super) fn violations(world: &World, history: &History) -> Vec<String> {
    let exchanges = history.exchanges.iter();
    let exchanges: HashMap<&str, &Exchange> = exchanges
        .map(|exchange| (exchange.id.as_str(), exchange))
        .collect();
    let mut found = Vec::new();
    for (endpoint, slot) in world.endpoints.iter().enumerate() {
        let arrivals = slot.server.arrivals();
        let limited = arrivals
            .iter()
            .filter(|arrival| arrival.rate_per_s.is_some());
        let sent: Vec<(&Arrival, Process, Instant)> = limited
            .filter_map(|arrival| {
                let exchange = exchanges.get(arrival.request_id.as_str())?;
                Some((
                    arrival,
                    sender(world, endpoint, exchange)?,
                    exchange.ended_at,
                ))
            })
            .collect();
        let Some(first) = arrivals.iter().find(|arrival| arrival.rate_per_s.is_some()) else {
            continue;
        };
        let counted: Vec<Instant> = sent
            .iter()
            .filter(|(arrival, _, _)| arrival.at > first.at + STABLE_WINDOW)
            .filter(|(arrival, process, _)| {
                let told = sent.iter().filter(|(_, other, _)| other == process);
                let told_at = told.map(|(_, _, ended_at)| *ended_at).min();
                let is_told = told_at.is_some_and(|at| at + TOLD_AFTER < arrival.at);
                let since = arrival.at - WINDOW;
                is_told && !is_disturbed(history, endpoint, *process, since, arrival.at)
            })
            .map(|(arrival, _, _)| arrival.at)
            .collect();
        let rate_per_s = first.rate_per_s.unwrap_or_default();
        let allowed = (rate_per_s * WINDOW.as_secs_f64() * 1.5) as usize + 5;
        let in_window = |from: &Instant| {
            let window = *from..*from + WINDOW;
            counted.iter().filter(|at| window.contains(*at)).count()
        };
        let most = counted.iter().map(in_window).max().unwrap_or(0);
        if most > allowed {
            found.push(format!(
                "{most} requests in 4 s to endpoint {endpoint}, which named {rate_per_s} a second"
            ));
        }
    }
    found
}
