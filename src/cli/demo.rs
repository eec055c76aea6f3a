//! `figramp demo`.

use super::CliError;

/// Runs the demo; with a number of requests it ends by itself.
pub(super) fn run(_request_count: Option<u64>) -> Result<(), CliError> {
    Err(CliError::Unavailable { command: "demo" })
}
