//! The faults of the stand-in service that can be switched at run time.

use serde::Deserialize;
use serde::Serialize;

/// The faults of the stand-in service; all are off by default.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// The number of further calls that the faults hit; absent means all.
    pub hits_left: Option<u32>,
    /// The wait before a call runs, in milliseconds.
    pub delay_ms: u64,
    /// Whether calls are refused with the mark that they did not run.
    pub is_refusing: bool,
    /// Whether connections go silent before the call runs, which then never runs.
    pub is_silent_before_run: bool,
    /// Whether connections go silent after the call ran.
    pub is_silent_after_run: bool,
    /// The status that calls fail with after they ran.
    pub failure_status_after_run: Option<u16>,
    /// The number of bytes after which the body of an answer is cut short.
    pub truncated_after_bytes: Option<u64>,
}

impl ServiceFaults {
    /// Returns the faults of the next call, and counts them.
    pub(super) fn hit(&mut self) -> Self {
        match &mut self.hits_left {
            None => *self,
            Some(0) => Self::default(),
            Some(hits_left) => {
                *hits_left -= 1;
                *self
            }
        }
    }
}
