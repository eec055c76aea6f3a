//! The faults that the stand-in service can simulate, set at run time.

use serde::Deserialize;
use serde::Serialize;

/// The faults that the stand-in service simulates; all are off by default.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// The number of further calls that the faults apply to; absent means all.
    pub hits_left: Option<u32>,
    /// The delay before a call runs, in milliseconds.
    pub delay_ms: u64,
    /// Whether calls are refused with the header that says they did not run.
    pub is_refusing: bool,
    /// Whether a call hangs without an answer before it runs; it then never runs.
    pub is_silent_before_run: bool,
    /// Whether a call hangs without an answer after it ran.
    pub is_silent_after_run: bool,
    /// The status that calls fail with after they ran.
    pub failure_status_after_run: Option<u16>,
    /// The number of bytes after which the body of an answer is truncated.
    pub truncated_after_bytes: Option<u64>,
}

impl ServiceFaults {
    /// Returns the faults that apply to the next call, and decrements `hits_left`.
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
