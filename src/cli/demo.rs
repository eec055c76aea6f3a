//! `figramp demo`.

use super::log_setup;
use super::runtime;
use super::CliError;
use crate::demo::run_demo;
use crate::demo::DemoOptions;
use crate::settings::LogSettings;

/// Runs the demo until it has sent `request_count` requests, or until stopped if it is `None`.
pub(super) fn run(request_count: Option<u64>) -> Result<(), CliError> {
    let _logger = log_setup::start(LogSettings {
        level: log::LevelFilter::Warn,
        ..LogSettings::default()
    })?;
    let options = DemoOptions {
        requests: request_count,
    };
    let is_clean = runtime::block_on(async { Ok(run_demo(options).await?) })?;
    if !is_clean {
        return Err(CliError::DemoFailed);
    }
    Ok(())
}
