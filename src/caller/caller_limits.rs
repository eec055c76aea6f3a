//! Limits of the interface towards callers.

use std::time::Duration;

/// The longest accepted body, in bytes, unless the settings say otherwise.
const DEFAULT_BODY_MAX_BYTES: u64 = 4 << 20;
/// The longest answer of a plain service, in bytes, unless the settings say otherwise.
const DEFAULT_SERVICE_ANSWER_MAX_BYTES: usize = 16 << 20;
/// The longest time that a caller takes no byte of its answer, unless the settings say otherwise.
const DEFAULT_WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// The longest time that a body takes to arrive, unless the settings say otherwise.
const DEFAULT_READ_TIMEOUT: Duration = Duration::from_secs(60);

/// Limits of the interface towards callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest accepted body, in bytes.
    pub body_max_bytes: u64,
    /// The longest answer of a plain service, in bytes.
    pub service_answer_max_bytes: usize,
    /// The longest time that a body takes to arrive; a connection on which no request runs and
    /// nothing moves for longer is closed.
    pub read_timeout: Duration,
    /// The longest time that a caller takes no byte of its answer; later it counts as gone.
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
