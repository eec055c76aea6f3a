//! A rate-limited, non-blocking log buffer for standard output.

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

/// The most lines per second below the level of warnings; more would cost CPU time without adding
/// information.
const LINES_PER_S: u32 = 200;

/// The most warnings and errors per second, counted apart from other lines.
const WARNINGS_PER_S: u32 = 50;

/// The most bytes that wait for standard output to accept them; further lines are dropped.
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

/// Buffers log lines until they are written; clones share the buffer.
#[derive(Clone, Debug)]
pub struct BoundedLog {
    pending: Arc<Mutex<Pending>>,
    format: FormatFunction,
}

impl BoundedLog {
    /// Creates an empty log that formats its lines with `format`.
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

    /// Writes the buffered lines, as far as `sink` accepts them without blocking.
    ///
    /// A line that counts the lines dropped since the last call follows them.
    ///
    /// # Errors
    ///
    /// Returns the error of `sink`, except [`io::ErrorKind::WouldBlock`]; the buffered lines are
    /// discarded in that case.
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
    fn try_admit(&mut self, level: Level) -> bool {
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
        let is_admitted = *count <= max && self.bytes.len() < WAITING_MAX_BYTES;
        if !is_admitted {
            self.dropped_count += 1;
        }
        is_admitted
    }
}

impl LogWriter for BoundedLog {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut pending = self.pending.lock();
        if !pending.try_admit(record.level()) {
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
