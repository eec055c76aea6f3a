//! The asynchronous runtime of subcommands.

use std::future::Future;

use super::CliError;

/// Runs a future to completion on a new multi-threaded runtime.
pub(super) fn block_on<T>(
    future: impl Future<Output = Result<T, CliError>>,
) -> Result<T, CliError> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| CliError::Failed(error.to_string()))?
        .block_on(future)
}
