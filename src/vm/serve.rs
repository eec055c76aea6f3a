//! Runs a daemon until a signal stops it.

use std::io;
use std::sync::Arc;

use tokio::signal::unix::signal;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;

use super::CoreSettings;
use super::Daemon;
use super::DaemonError;
use super::DaemonParts;
use super::RequestContext;
use crate::clock::SystemClock;
use crate::endpoint::HttpEndpointClient;
use crate::peer::PeerSecret;
use crate::publication::HttpPlatformClient;
use crate::settings::Settings;

/// Runs a daemon until it receives `SIGTERM` or `SIGINT` and has finished all running requests.
///
/// Each further signal logs the number of requests that are still running.
///
/// # Errors
///
/// Returns a [`DaemonError`] if the daemon fails to start.
pub async fn serve(settings: Settings, secret: PeerSecret) -> Result<(), DaemonError> {
    let mut signals = StopSignals::new().map_err(DaemonError::Signal)?;
    let platform = settings.platform;
    let parts = DaemonParts {
        clock: Arc::new(SystemClock::new()),
        platform: Arc::new(HttpPlatformClient::new(platform.address, platform.timeout)?),
        endpoints: Arc::new(HttpEndpointClient::new()),
        secret,
        core: CoreSettings::from(&settings),
    };
    let daemon = Daemon::launch(&settings, parts).await?;
    log::info!(
        "{} serves callers at {}, operators at {}, other VMs at {}",
        settings.vm.name,
        daemon.caller_address(),
        daemon.operator_address(),
        daemon.peer_address(),
    );
    signals.next().await;
    let context = daemon.context();
    let drain = daemon.drain();
    tokio::pin!(drain);
    loop {
        tokio::select! {
            () = &mut drain => return Ok(()),
            () = signals.next() => log_running(&context),
        }
    }
}

fn log_running(context: &RequestContext) {
    let running_count = context
        .blackboard
        .running_count
        .load(std::sync::atomic::Ordering::Relaxed);
    log::warn!("still draining, {running_count} requests are running");
}

/// The signals that start the drain of a daemon.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
