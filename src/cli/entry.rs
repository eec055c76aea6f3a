//! `figramp entry`.

use super::log_setup;
use super::CliError;
use crate::entry;
use crate::platform;
use crate::settings::LogFormat;
use crate::settings::LogSettings;

/// Runs the daemon of an entry VM until it has drained.
pub(super) fn run() -> Result<(), CliError> {
    let _logger = log_setup::start(LogSettings {
        level: log::LevelFilter::Info,
        format: LogFormat::Json,
    })?;
    entry::run(&platform::settings_path()).map_err(|error| CliError::Failed(error.to_string()))
}
