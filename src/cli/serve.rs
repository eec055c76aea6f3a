//! `figramp serve`.

use std::path::Path;

use super::log_setup;
use super::runtime;
use super::CliError;
use crate::peer;
use crate::settings::PeerSecret;
use crate::settings::Settings;
use crate::vm;
use crate::vm::DaemonError;

/// Checks the settings and the peer secret, then runs the daemon until it has drained.
pub(super) fn run(settings: &Path) -> Result<(), CliError> {
    let settings = Settings::load(settings)?;
    let secret = PeerSecret::load(&settings.peers.secret_file)?;
    let _logger = log_setup::start(settings.log)?;
    run_daemon(settings, secret)
}

fn run_daemon(settings: Settings, secret: PeerSecret) -> Result<(), CliError> {
    let secret = peer::PeerSecret::new(secret.as_bytes()).map_err(DaemonError::from)?;
    runtime::block_on(async move { Ok(vm::serve(settings, secret).await?) })
}
