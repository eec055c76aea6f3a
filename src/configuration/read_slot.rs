//! The schedule of one kind of read of the service.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::clock::Monotonic;

const ANSWER_GRACE: Duration = Duration::from_secs(5);
const BACKOFF_MIN: Duration = Duration::from_millis(250);
const BACKOFF_MAX_DOUBLINGS: u32 = 5;

/// The schedule of one kind of read: at most one is under way, and failures space them out.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadSlot {
    state: SlotState,
    failure_count: u32,
}

#[derive(Clone, Copy, Debug, Default)]
enum SlotState {
    #[default]
    Idle,
    Waiting {
        until: Monotonic,
    },
    UnderWay {
        until: Monotonic,
    },
}

impl ReadSlot {
    /// Plans the next read after `pause` (longer after failures) and tells whether it is due.
    pub(super) fn is_due(&mut self, now: Monotonic, pause: Duration, rng: &mut impl Rng) -> bool {
        match self.state {
            SlotState::Idle => {
                let until = now + self.pause(pause, rng);
                self.state = SlotState::Waiting { until };
                until <= now
            }
            SlotState::Waiting { until } => until <= now,
            SlotState::UnderWay { until } => {
                if until <= now {
                    self.finish(ReadOutcome::Failed);
                }
                false
            }
        }
    }

    /// Records that a read was started.
    pub(super) fn start(&mut self, now: Monotonic, wait: Duration) {
        self.state = SlotState::UnderWay {
            until: now + wait + ANSWER_GRACE,
        };
    }

    /// Records the end of a read.
    pub(super) fn finish(&mut self, outcome: ReadOutcome) {
        self.state = SlotState::Idle;
        self.failure_count = match outcome {
            ReadOutcome::Answered => 0,
            ReadOutcome::Failed => self.failure_count.saturating_add(1),
        };
    }

    /// Forgets a planned read.
    pub(super) fn unplan(&mut self) {
        if let SlotState::Waiting { .. } = self.state {
            self.state = SlotState::Idle;
        }
    }

    fn pause(&self, pause: Duration, rng: &mut impl Rng) -> Duration {
        if self.failure_count == 0 {
            return pause;
        }
        let doublings = (self.failure_count - 1).min(BACKOFF_MAX_DOUBLINGS);
        let longest = BACKOFF_MIN * (1 << doublings);
        pause.max(longest.mul_f64(rng.random_range(0.5..=1.0)))
    }
}

/// How a read ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    Answered,
    Failed,
}
