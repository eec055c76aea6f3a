//! `figramp serve`.

use std::path::Path;

use super::log_setup;
use super::CliError;
use crate::settings::PeerSecret;
use crate::settings::Settings;

/// Checks the settings and the peer secret, then runs the daemon until it has drained.
pub(super) fn run(settings: &Path) -> Result<(), CliError> {
    let settings = Settings::load(settings)?;
    let secret = PeerSecret::load(&settings.peers.secret_file)?;
    let _logger = log_setup::start(settings.log)?;
    run_daemon(settings, secret)
}

fn run_daemon(_settings: Settings, _secret: PeerSecret) -> Result<(), CliError> {
    Err(CliError::Unavailable { command: "serve" })
}
