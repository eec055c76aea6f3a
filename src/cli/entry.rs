//! `figramp entry`.

use super::log_setup;
use super::CliError;
use crate::entry;
use crate::platform;

/// Runs the daemon of an entry VM until it has drained.
pub(super) fn run() -> Result<(), CliError> {
    let (_logger, log) = log_setup::start_bounded()?;
    let result = entry::run(&platform::settings_path(), &log);
    entry::write_log(&log);
    result.map_err(|error| CliError::Failed(error.to_string()))
}
