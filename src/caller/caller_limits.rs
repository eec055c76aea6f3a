//! Limits of the HTTP interface for callers.

use std::time::Duration;

/// The longest accepted body, in bytes, unless the settings say otherwise.
const DEFAULT_BODY_MAX_BYTES: u64 = 4 << 20;
/// The longest answer of a plain service, in bytes, unless the settings say otherwise.
const DEFAULT_SERVICE_ANSWER_MAX_BYTES: usize = 16 << 20;
/// The longest time that a caller may read no byte, unless the settings say otherwise.
const DEFAULT_WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// The longest time to wait for a whole body, unless the settings say otherwise.
const DEFAULT_READ_TIMEOUT: Duration = Duration::from_secs(60);

/// Limits of the HTTP interface for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest accepted body, in bytes.
    pub body_max_bytes: u64,
    /// The longest answer that is collected before it is sent, in bytes.
    pub service_answer_max_bytes: usize,
    /// The longest time to wait for a whole body, and the idle timeout of a connection without a
    /// running request.
    pub read_timeout: Duration,
    /// The longest time that a caller may read no byte of its answer before its connection is
    /// closed.
    pub write_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body_max_bytes: DEFAULT_BODY_MAX_BYTES,
            service_answer_max_bytes: DEFAULT_SERVICE_ANSWER_MAX_BYTES,
            read_timeout: DEFAULT_READ_TIMEOUT,
            write_timeout: DEFAULT_WRITE_TIMEOUT,
        }
    }
}
