//! Finds out whether this VM reaches endpoints while none gives a sign of life.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::time::interval;
use tokio::time::MissedTickBehavior;

use super::EntryState;
use crate::edge::probe;

/// The interval at which the task checks whether a probe is due.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// The number of endpoints that are probed at once.
const PROBED_MAX: usize = 3;

/// Probes endpoints whenever that is due; never returns.
pub(super) async fn run(state: Rc<EntryState>) {
    let mut checks = interval(CHECK_PERIOD);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        checks.tick().await;
        let addresses = due_addresses(&state);
        if addresses.is_empty() {
            continue;
        }
        state.reach.borrow_mut().on_probe(state.now());
        let outcome = probe(&state, &addresses).await;
        let was_cut_off = state.reach.borrow().is_cut_off();
        if state.reach.borrow_mut().on_probed(outcome) {
            log::warn!(outcome:? = outcome; "no endpoint of the region can be reached");
            discard_connections(&state);
        }
        let is_cut_off = state.reach.borrow().is_cut_off();
        if was_cut_off && !is_cut_off {
            log::info!("endpoints can be reached again");
            state.endpoints.borrow_mut().on_reached_again();
        }
    }
}

/// Returns the addresses to probe now; none if no probe is due.
fn due_addresses(state: &EntryState) -> Vec<SocketAddr> {
    let endpoints = state.endpoints.borrow();
    let addresses: Vec<SocketAddr> = endpoints.addresses().collect();
    let is_due = state
        .reach
        .borrow()
        .is_probe_due(state.now(), addresses.len());
    match is_due {
        true => addresses
            .into_iter()
            .sample(&mut *state.rng.borrow_mut(), PROBED_MAX),
        false => Vec::new(),
    }
}

/// Drops the idle connections to endpoints, which pass nothing any more.
fn discard_connections(state: &EntryState) {
    for address in state.endpoints.borrow().addresses() {
        state.connection_pool.discard_idle(address);
    }
}
