//! The time of day.

/// Milliseconds since the Unix epoch, for logs and reports only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WallTime {
    /// Milliseconds since the Unix epoch.
    pub unix_ms: u64,
}
