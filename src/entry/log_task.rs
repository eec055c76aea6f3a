//! Writes the log to standard output without blocking.

use std::io;
use std::time::Duration;

use rustix::io::ioctl_fionbio;
use rustix::io::write;
use rustix::stdio::stdout;
use tokio::time::sleep;

use crate::telemetry::BoundedLog;

/// The pause between two writes: one call for the lines of a fifth of a second.
const FLUSH_PERIOD: Duration = Duration::from_millis(200);

/// Writes the log for ever.
pub(super) async fn run(log: BoundedLog) {
    if let Err(error) = ioctl_fionbio(stdout(), true) {
        log::warn!(error:% = error; "standard output may block");
    }
    loop {
        sleep(FLUSH_PERIOD).await;
        write_log(&log);
    }
}

/// Writes what waits, as far as standard output takes it.
pub fn write_log(log: &BoundedLog) {
    // Nobody is left to tell when standard output is gone; the lines are dropped.
    let _ = log.drain_into(|bytes| write(stdout(), bytes).map_err(io::Error::from));
}
