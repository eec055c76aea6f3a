//! The faults of the stand-in engine that can be switched at run time.

use serde::Deserialize;
use serde::Serialize;

/// The faults of the stand-in engine; all are off by default.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// The number of further answers that the faults of answers hit; absent means all.
    pub hits_left: Option<u32>,
    /// The wait before the first event, in milliseconds.
    pub first_event_delay_ms: u64,
    /// The number of chunks after which an answer's connection goes silent for good.
    pub silent_after_chunks: Option<u64>,
    /// The number of chunks after which an answer ends without its end mark.
    pub truncated_after_chunks: Option<u64>,
    /// The offset of a chunk that is left out.
    pub missing_chunk: Option<u64>,
    /// The number of tokens by which an answer is longer than was asked for.
    pub surplus_tokens: u64,
    /// Whether events of another request come between those of an answer.
    pub has_crossed_events: bool,
    /// Whether events come twice and once more after the next one.
    pub has_repeated_events: bool,
    /// Whether requests are refused with the mark that they did not run.
    pub is_refusing: bool,
    /// The status that requests fail with, without a mark.
    pub failure_status: Option<u16>,
    /// The age of load reports, in milliseconds, in place of the one of the options.
    pub load_report_lag_ms: Option<u64>,
    /// Whether load reports tell of no load.
    pub is_load_understated: bool,
    /// The distance between cache events that are left out.
    pub cache_event_gap_every: Option<u64>,
    /// Whether orders with an old fencing number are carried out.
    pub is_fencing_ignored: bool,
}

impl EngineFaults {
    /// Returns the faults of the next answer, and counts them.
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
