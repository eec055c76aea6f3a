//! A log on standard output that is bounded in volume and never blocks.

use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use flexi_logger::writers::LogWriter;
use flexi_logger::DeferredNow;
use flexi_logger::FormatFunction;
use log::Level;
use log::Record;
use parking_lot::Mutex;

/// The lines a second that are kept; more say nothing that these do not, and cost processor time.
const LINES_PER_S: u32 = 200;

/// The lines a second that are kept for warnings and errors, besides.
const WARNINGS_PER_S: u32 = 50;

/// The bytes that wait for a reader of standard output; beyond them lines are dropped.
const WAITING_MAX_BYTES: usize = 256 * 1024;

const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Pending {
    bytes: Vec<u8>,
    window_started_at: Instant,
    line_count: u32,
    warning_count: u32,
    dropped_count: u64,
}

/// Collects the lines of the log until they are written; clones share the lines.
#[derive(Clone, Debug)]
pub struct BoundedLog {
    pending: Arc<Mutex<Pending>>,
    format: FormatFunction,
}

impl BoundedLog {
    /// Creates a log that writes its lines by `format`.
    pub fn new(format: FormatFunction) -> Self {
        let pending = Pending {
            bytes: Vec::new(),
            window_started_at: Instant::now(),
            line_count: 0,
            warning_count: 0,
            dropped_count: 0,
        };
        Self {
            pending: Arc::new(Mutex::new(pending)),
            format,
        }
    }

    /// Returns the number of lines that were dropped since the last flush.
    pub fn dropped_count(&self) -> u64 {
        self.pending.lock().dropped_count
    }

    /// Writes what waits, as far as `sink` takes it without blocking.
    ///
    /// # Errors
    ///
    /// Returns the error of the sink, unless it would only have blocked.
    pub fn drain_into(&self, mut sink: impl FnMut(&[u8]) -> io::Result<usize>) -> io::Result<()> {
        let mut pending = self.pending.lock();
        if pending.dropped_count > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"count\":{}}}\n",
                pending.dropped_count
            );
            pending.bytes.extend_from_slice(line.as_bytes());
            pending.dropped_count = 0;
        }
        let mut written = 0;
        while written < pending.bytes.len() {
            match sink(&pending.bytes[written..]) {
                Ok(0) => break,
                Ok(count) => written += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => {
                    pending.bytes.clear();
                    return Err(error);
                }
            }
        }
        pending.bytes.drain(..written);
        Ok(())
    }
}

impl Pending {
    fn takes(&mut self, level: Level) -> bool {
        if self.window_started_at.elapsed() >= WINDOW {
            self.window_started_at = Instant::now();
            self.line_count = 0;
            self.warning_count = 0;
        }
        let (count, max) = match level {
            Level::Error | Level::Warn => (&mut self.warning_count, WARNINGS_PER_S),
            _ => (&mut self.line_count, LINES_PER_S),
        };
        *count += 1;
        let is_taken = *count <= max && self.bytes.len() < WAITING_MAX_BYTES;
        if !is_taken {
            self.dropped_count += 1;
        }
        is_taken
    }
}

impl LogWriter for BoundedLog {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut pending = self.pending.lock();
        if !pending.takes(record.level()) {
            return Ok(());
        }
        (self.format)(&mut pending.bytes, now, record)?;
        pending.bytes.push(b'\n');
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}
