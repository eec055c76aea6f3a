//! Writes the log to standard output without blocking.

use std::io;
use std::time::Duration;

use rustix::io::ioctl_fionbio;
use rustix::io::write;
use rustix::stdio::stdout;
use tokio::time::sleep;

use crate::telemetry::BoundedLog;

/// The interval between two writes; each writes the lines of the interval with one system call.
const FLUSH_PERIOD: Duration = Duration::from_millis(200);

/// Writes the log to standard output every [`FLUSH_PERIOD`]; never returns.
pub(super) async fn run(log: BoundedLog) {
    if let Err(error) = ioctl_fionbio(stdout(), true) {
        log::warn!(error:% = error; "setting standard output to non-blocking failed");
    }
    loop {
        sleep(FLUSH_PERIOD).await;
        write_log(&log);
    }
}

/// Writes the buffered lines, up to what standard output accepts without blocking.
pub fn write_log(log: &BoundedLog) {
    // An error of standard output cannot be reported anywhere; the lines are dropped.
    let _ = log.drain_into(|bytes| write(stdout(), bytes).map_err(io::Error::from));
}
