//! The faults that the stand-in engine can simulate, set at run time.

use serde::Deserialize;
use serde::Serialize;

/// The faults that the stand-in engine simulates; all are off by default.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// The number of further answers that the faults of answers apply to; absent means all.
    pub hits_left: Option<u32>,
    /// The delay before the first event, in milliseconds.
    pub first_event_delay_ms: u64,
    /// The number of chunks after which an answer sends nothing more but stays open.
    pub silent_after_chunks: Option<u64>,
    /// The number of chunks after which an answer ends without its end event.
    pub truncated_after_chunks: Option<u64>,
    /// The offset of an event that is not sent.
    pub missing_chunk: Option<u64>,
    /// The number of tokens by which an answer exceeds the requested length.
    pub surplus_tokens: u64,
    /// Whether events of another request are interleaved with those of an answer.
    pub has_crossed_events: bool,
    /// Whether each event is sent twice, and once more after the next one.
    pub has_repeated_events: bool,
    /// Whether requests are refused with the header that says they did not run.
    pub is_refusing: bool,
    /// The status that requests fail with, without a run state header.
    pub failure_status: Option<u16>,
    /// The age of load reports, in milliseconds; absent means the age set by the options.
    pub load_report_lag_ms: Option<u64>,
    /// Whether load reports contain no running or waiting requests.
    pub is_load_understated: bool,
    /// The interval of omitted cache events: those whose sequence is a multiple of it are not
    /// reported.
    pub cache_event_gap_every: Option<u64>,
    /// Whether orders with an outdated fencing token are accepted.
    pub is_fencing_ignored: bool,
}

impl EngineFaults {
    /// Returns the faults that apply to the next request, and decrements `hits_left`.
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
