//! The load history of the stand-in engine, from which delayed load reports are made.

use std::collections::VecDeque;
use std::time::Duration;

use super::slots::SlotUse;
use crate::clock::Monotonic;

/// How long load samples are retained.
const RETENTION: Duration = Duration::from_secs(60);

/// The load history of the stand-in engine.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: VecDeque<Sample>,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Monotonic,
    load: SlotUse,
}

impl LoadHistory {
    /// Records the load at `now`.
    pub(super) fn record(&mut self, load: SlotUse, now: Monotonic) {
        self.samples.push_back(Sample { at: now, load });
        while self.samples.len() > 1 && now.since(self.samples[1].at) > RETENTION {
            self.samples.pop_front();
        }
    }

    /// Returns the load as it was `lag` before `now`.
    pub(super) fn load_before(&self, lag: Duration, now: Monotonic) -> SlotUse {
        let mut past = self.samples.iter().rev();
        past.find(|sample| now.since(sample.at) >= lag)
            .map_or(SlotUse::default(), |sample| sample.load)
    }
}
