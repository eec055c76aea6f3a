//! The schedule of one kind of read of the service.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::clock::Monotonic;

const RESPONSE_GRACE: Duration = Duration::from_secs(5);
const BACKOFF_MIN: Duration = Duration::from_millis(250);
const BACKOFF_MAX_DOUBLINGS: u32 = 5;

/// The schedule of one kind of read: at most one is in flight, and failures back off exponentially.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadSchedule {
    state: ScheduleState,
    failure_count: u32,
}

#[derive(Clone, Copy, Debug, Default)]
enum ScheduleState {
    #[default]
    Idle,
    Waiting {
        until: Monotonic,
    },
    InFlight {
        until: Monotonic,
    },
}

impl ReadSchedule {
    /// Schedules the next read after `pause` (longer after failures) and returns whether it is due.
    pub(super) fn is_due(&mut self, now: Monotonic, pause: Duration, rng: &mut impl Rng) -> bool {
        match self.state {
            ScheduleState::Idle => {
                let until = now + self.pause(pause, rng);
                self.state = ScheduleState::Waiting { until };
                until <= now
            }
            ScheduleState::Waiting { until } => until <= now,
            ScheduleState::InFlight { until } => {
                if until <= now {
                    self.finish(ReadOutcome::Failed);
                }
                false
            }
        }
    }

    /// Records the start of a read; it counts as failed [`RESPONSE_GRACE`] after `wait`.
    pub(super) fn start(&mut self, now: Monotonic, wait: Duration) {
        self.state = ScheduleState::InFlight {
            until: now + wait + RESPONSE_GRACE,
        };
    }

    /// Records the end of a read.
    pub(super) fn finish(&mut self, outcome: ReadOutcome) {
        self.state = ScheduleState::Idle;
        self.failure_count = match outcome {
            ReadOutcome::Succeeded => 0,
            ReadOutcome::Failed => self.failure_count.saturating_add(1),
        };
    }

    /// Cancels a scheduled read that has not started.
    pub(super) fn cancel(&mut self) {
        if let ScheduleState::Waiting { .. } = self.state {
            self.state = ScheduleState::Idle;
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

/// The outcome of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    Succeeded,
    Failed,
}
