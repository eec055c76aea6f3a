//! Keeps a connection open to some endpoints, so that VMs see the end of each process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::interval;
use tokio::time::MissedTickBehavior;

use super::entry_ends::log_ended;
use super::EntryState;
use crate::clock::Monotonic;
use crate::placement::EndpointKey;

/// The interval at which the task checks the connections.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// The time for which a connection stays open beside its successor at most: only two that were idle for different
/// times tell an end from an idle timeout of under a second.
const HELD_TIME_MAX: Duration = Duration::from_millis(1_600);

/// The shortest idle timeout at which connections are kept open: below it, they would be renewed all the time.
const IDLE_LIMIT_MIN: Duration = Duration::from_millis(1_500);

/// The number of VMs of the region that watch an endpoint.
const WATCHERS: usize = 2;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Keeps a connection open to each endpoint that this VM watches; never returns.
///
/// VMs that send an endpoint nothing would not see that its process ended: a connection that is open shows it.
/// The watchers are chosen by rendezvous hashing among the known VMs of the region.
pub(super) async fn run(state: Rc<EntryState>) {
    let mut checks = interval(CHECK_PERIOD);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        checks.tick().await;
        let now = state.now();
        for (key, address) in due_endpoints(&state, now) {
            let state = Rc::clone(&state);
            spawn_local(async move { hold(&state, now, key, address).await });
        }
    }
}

/// Returns the watched endpoints to which no connection stays open for long enough.
fn due_endpoints(state: &EntryState, now: Monotonic) -> Vec<(EndpointKey, SocketAddr)> {
    let fleet = state.fleet.borrow();
    let endpoints = state.endpoints.borrow();
    let mut watched = endpoints.watched(|key| fleet.is_selected(now, key, WATCHERS));
    let pool = &state.connection_pool;
    watched.retain(|(_, address)| {
        let idle_limit = pool.idle_limit(*address);
        let held_time = HELD_TIME_MAX.min(idle_limit / 2);
        idle_limit >= IDLE_LIMIT_MIN && !pool.is_held(now, *address, held_time)
    });
    watched
}

async fn hold(state: &EntryState, now: Monotonic, key: EndpointKey, address: SocketAddr) {
    let pool = &state.connection_pool;
    let bytes = state.endpoint_bytes(key);
    let held = pool.hold(now, address, CONNECT_TIMEOUT, &bytes).await;
    let mut endpoints = state.endpoints.borrow_mut();
    let error = match held {
        Ok(opened_at) => return endpoints.on_connected(key, opened_at),
        Err(error) => error,
    };
    log::debug!(address:% = address, error:% = error; "an endpoint can't be watched");
    if error.is_connection_refused() && endpoints.on_connection_refused(state.now(), key) {
        log_ended(&endpoints, key, "connection refused");
        state.gossip_now.notify_one();
    }
}
