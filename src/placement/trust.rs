//! How far an endpoint is trusted after failures.

use std::time::Duration;

use super::AttemptOutcome;
use super::Ewma;
use crate::clock::Monotonic;

/// The weight of one attempt in the rate of failures: about the last ten count.
const ATTEMPT_WEIGHT: f64 = 0.1;

/// The pause after the first failure to reach an endpoint; it doubles with each further one.
const PAUSE_FIRST: Duration = Duration::from_millis(300);

/// The longest pause: a crashed endpoint comes back within seconds.
const PAUSE_MAX: Duration = Duration::from_millis(2_400);

/// The most doublings of the first pause.
const DOUBLINGS_MAX: u32 = 3;

/// The pause after an endpoint refused: about the time in which a slot becomes free.
const REFUSAL_PAUSE: Duration = Duration::from_millis(60);

/// The lowest rate of success that is assumed, so that a failing endpoint is tried again.
const SUCCESS_RATE_MIN: f64 = 0.1;

/// How far an endpoint is trusted: unreachable ones are left out for a time, and failing ones
/// count as slower by the attempts that a success takes.
#[derive(Clone, Debug, Default)]
pub(super) struct Trust {
    failure_rate: Ewma,
    unreachable_count: u32,
    paused_until: Option<Monotonic>,
    refusing_until: Option<Monotonic>,
}

impl Trust {
    pub(super) fn note(&mut self, now: Monotonic, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Answered { .. } => {
                self.unreachable_count = 0;
                self.paused_until = None;
                self.refusing_until = None;
                self.failure_rate.add(0.0, ATTEMPT_WEIGHT);
            }
            AttemptOutcome::Refused => {
                self.refusing_until = Some(now + REFUSAL_PAUSE);
            }
            AttemptOutcome::Failed => self.failure_rate.add(1.0, ATTEMPT_WEIGHT),
            AttemptOutcome::Unreachable => {
                let doublings = self.unreachable_count.min(DOUBLINGS_MAX);
                let pause = (PAUSE_FIRST * (1 << doublings)).min(PAUSE_MAX);
                self.unreachable_count += 1;
                self.paused_until = Some(now + pause);
                self.failure_rate.add(1.0, ATTEMPT_WEIGHT);
            }
        }
    }

    /// Returns how long the endpoint is left out; with `accepts_refusing` not for a refusal.
    pub(super) fn pause(&self, now: Monotonic, accepts_refusing: bool) -> Option<Duration> {
        let refusing_until = self.refusing_until.filter(|_| !accepts_refusing);
        self.paused_until
            .max(refusing_until)
            .filter(|until| now < *until)
            .map(|until| until.since(now))
    }

    /// Returns the number of attempts that a success is expected to take.
    pub(super) fn attempts_per_success(&self) -> f64 {
        let failure_rate = self.failure_rate.mean().unwrap_or(0.0);
        1.0 / (1.0 - failure_rate).max(SUCCESS_RATE_MIN)
    }
}
