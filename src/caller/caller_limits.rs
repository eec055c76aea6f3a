//! Limits of the interface towards callers.

/// The longest accepted body, in bytes, unless the settings say otherwise.
const DEFAULT_BODY_MAX_BYTES: u64 = 4 << 20;
/// The longest answer of a plain service, in bytes, unless the settings say otherwise.
const DEFAULT_SERVICE_ANSWER_MAX_BYTES: usize = 16 << 20;

/// Limits of the interface towards callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest accepted body, in bytes.
    pub body_max_bytes: u64,
    /// The longest answer of a plain service, in bytes.
    pub service_answer_max_bytes: usize,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body_max_bytes: DEFAULT_BODY_MAX_BYTES,
            service_answer_max_bytes: DEFAULT_SERVICE_ANSWER_MAX_BYTES,
        }
    }
}
