//! Timing of the chunks of an answer.

use crate::clock::Monotonic;

/// Times of the chunks of one answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerTimes {
    /// The time from the arrival of the request to the first chunk, in microseconds.
    pub first_token_us: Option<u64>,
    /// The times between consecutive chunks, in microseconds.
    pub between_tokens_us: Vec<u32>,
}

/// Measures the times of the chunks of one answer.
#[derive(Clone, Debug)]
pub struct AnswerTimer {
    received_at: Monotonic,
    last_chunk_at: Option<Monotonic>,
    times: AnswerTimes,
}

impl AnswerTimer {
    /// Creates the timer of a request that arrived at `received_at`.
    pub fn new(received_at: Monotonic) -> Self {
        Self {
            received_at,
            last_chunk_at: None,
            times: AnswerTimes::default(),
        }
    }

    /// Records a chunk that is sent to the caller at `now`.
    pub fn on_chunk(&mut self, now: Monotonic) {
        match self.last_chunk_at {
            None => {
                let elapsed = now.since(self.received_at);
                let elapsed_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
                self.times.first_token_us = Some(elapsed_us);
            }
            Some(last) => {
                let gap_us = u32::try_from(now.since(last).as_micros()).unwrap_or(u32::MAX);
                self.times.between_tokens_us.push(gap_us);
            }
        }
        self.last_chunk_at = Some(now);
    }

    /// Returns the measured times.
    pub fn into_times(self) -> AnswerTimes {
        self.times
    }
}
