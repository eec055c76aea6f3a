//! `figramp serve`.

use std::path::Path;
use std::sync::Arc;

use tokio::signal::unix::signal;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;

use super::log_setup;
use super::runtime;
use super::CliError;
use crate::clock::SystemClock;
use crate::endpoint::HttpEndpointClient;
use crate::peer::PeerSecret;
use crate::publication::HttpPlatformClient;
use crate::settings::Settings;
use crate::vm::CoreSettings;
use crate::vm::Daemon;
use crate::vm::DaemonParts;
use crate::vm::RequestContext;

/// Checks the settings and the peer secret, then runs the daemon until it has drained.
pub(super) fn run(settings: &Path) -> Result<(), CliError> {
    let settings = Settings::load(settings)?;
    let secret = settings.peers.read_secret()?;
    let _logger = log_setup::start(settings.log)?;
    runtime::block_on(run_daemon(settings, secret))
}

async fn run_daemon(settings: Settings, secret: PeerSecret) -> Result<(), CliError> {
    let mut signals = StopSignals::new()?;
    let parts = daemon_parts(&settings, secret)?;
    let daemon = Daemon::launch(&settings, parts).await?;
    log::info!(
        vm = settings.vm.name.as_str(),
        callers:% = daemon.caller_address(),
        operators:% = daemon.operator_address();
        "daemon started"
    );
    signals.next().await;
    log::info!(running = daemon.running_count(); "draining");
    let context = daemon.context();
    let drain = daemon.drain();
    tokio::pin!(drain);
    loop {
        tokio::select! {
            () = &mut drain => break,
            () = signals.next() => print_running(&context),
        }
    }
    log::info!("drained");
    Ok(())
}

fn daemon_parts(settings: &Settings, secret: PeerSecret) -> Result<DaemonParts, CliError> {
    let platform = settings.platform;
    let platform = HttpPlatformClient::new(platform.address, platform.timeout)
        .map_err(|error| CliError::Failed(error.to_string()))?;
    Ok(DaemonParts {
        clock: Arc::new(SystemClock::new()),
        platform: Arc::new(platform),
        endpoints: Arc::new(HttpEndpointClient::new()),
        secret,
        core: CoreSettings::from(settings),
    })
}

fn print_running(context: &RequestContext) {
    let running = context
        .blackboard
        .running_count
        .load(std::sync::atomic::Ordering::Acquire);
    eprintln!("figramp: draining, {running} requests still running");
}

/// The signals that start a shutdown of the daemon.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> Result<Self, CliError> {
        let open = |kind| signal(kind).map_err(|error| CliError::Failed(error.to_string()));
        Ok(Self {
            terminate: open(SignalKind::terminate())?,
            interrupt: open(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
