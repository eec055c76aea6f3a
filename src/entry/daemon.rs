//! Starts and stops the daemon of an entry VM.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::Instant;

use super::entry_ends::watch_connections;
use super::gossip_task::GossipTask;
use super::log_task;
use super::origin_task;
use super::reach_task;
use super::signals::SignalRequest;
use super::signals::Signals;
use super::store_task;
use super::watch_task;
use super::EntryError;
use super::EntryState;
use crate::clock::BootTimeClock;
use crate::edge::EdgeListener;
use crate::edge::EdgeRole;
use crate::edge::EdgeStage;
use crate::fleet::VmPhase;
use crate::platform::load_settings;
use crate::telemetry::BoundedLog;

/// The delay between removing the VM from the directory and closing idle connections. Clients query
/// the directory again within two seconds and can finish requests that they are about to send.
const LEAVE_DELAY: Duration = Duration::from_millis(2_000);

/// How long before SIGKILL the process exits by itself.
const GRACE_RESERVE: Duration = Duration::from_millis(400);

const DRAIN_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Runs the daemon until a signal stops it and the running requests are finished.
///
/// # Errors
///
/// Returns an [`EntryError`] if the settings are invalid, a port cannot be bound, or the runtime
/// cannot be set up.
pub fn run(settings_path: &Path, log: &BoundedLog) -> Result<(), EntryError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    // Installed before anything else: without a handler, SIGHUP ends the process.
    let signals = {
        let _entered = runtime.enter();
        Signals::new()?
    };
    let settings = load_settings(settings_path)?;
    let clock = Rc::new(BootTimeClock::new());
    let state = Rc::new(EntryState::new(settings, clock));
    let local = LocalSet::new();
    local.spawn_local(log_task::run(log.clone()));
    local.block_on(&runtime, serve(state, signals, settings_path))
}

async fn serve(
    state: Rc<EntryState>,
    mut signals: Signals,
    settings_path: &Path,
) -> Result<(), EntryError> {
    let (stage, stage_receiver) = watch::channel(EdgeStage::Serving);
    let listeners = state.settings.listeners;
    for (role, address) in [
        (EdgeRole::Directory, listeners.directory),
        (EdgeRole::Peers, listeners.peers),
        (EdgeRole::Readiness, listeners.readiness),
        (EdgeRole::Metrics, listeners.metrics),
        (EdgeRole::Clients, listeners.clients),
    ] {
        let listener = EdgeListener::bind(role, address)
            .await
            .map_err(|source| EntryError::Listen { address, source })?;
        spawn_local(listener.run(Rc::clone(&state), stage_receiver.clone()));
    }
    let gossip_socket = bind_datagrams(&state, listeners.gossip_port).await?;
    let stream_socket = Rc::new(bind_datagrams(&state, listeners.stream_port).await?);
    let stream_socket = state.stream_socket.get_or_init(|| stream_socket);
    spawn_local(store_task::run(Rc::clone(&state)));
    spawn_local(GossipTask::new(Rc::clone(&state), gossip_socket).run());
    spawn_local(reach_task::run(Rc::clone(&state)));
    spawn_local(watch_connections(Rc::clone(&state)));
    spawn_local(watch_task::run(Rc::clone(&state)));
    spawn_local(origin_task::run(
        Rc::clone(&state),
        Rc::clone(stream_socket),
    ));
    log::info!(vm = state.settings.vm.as_str(); "started");
    while signals.next().await == SignalRequest::Reload {
        reload(settings_path);
    }
    drain(&state, &stage).await;
    Ok(())
}

async fn bind_datagrams(state: &EntryState, port: u16) -> Result<UdpSocket, EntryError> {
    let address = SocketAddr::from((state.settings.ip, port));
    let socket = UdpSocket::bind(address).await;
    socket.map_err(|source| EntryError::Listen { address, source })
}

/// Validates a changed settings file; changes take effect at the next start.
fn reload(settings_path: &Path) {
    match load_settings(settings_path) {
        Ok(_) => log::info!("settings file is valid; changes take effect at the next start"),
        Err(error) => log::error!(error:% = error; "the changed settings file is invalid"),
    }
}

async fn drain(state: &EntryState, stage: &watch::Sender<EdgeStage>) {
    let grace = state.settings.bounds.shutdown_grace;
    let time_left = grace.saturating_sub(GRACE_RESERVE);
    let deadline = Instant::now() + time_left;
    state.ends_at.set(Some(state.now() + time_left));
    log::info!(running = state.running_count.get(); "draining");
    state.fleet.borrow_mut().local_row_mut().phase = VmPhase::Leaving;
    stage.send_replace(EdgeStage::Draining);
    sleep(LEAVE_DELAY).await;
    stage.send_replace(EdgeStage::Closing);
    // A connection is open until its answer is written; a request no longer runs by then.
    while is_in_use(state) && Instant::now() < deadline {
        sleep(DRAIN_CHECK_PERIOD).await;
    }
    state.ending.send_replace(true);
    // Lets the kernel send complete answers that are still in socket buffers.
    sleep(DRAIN_CHECK_PERIOD).await;
    log::info!(
        running = state.running_count.get(),
        connections = state.connection_count.get();
        "stopped"
    );
}

fn is_in_use(state: &EntryState) -> bool {
    state.running_count.get() > 0 || state.connection_count.get() > 0
}
