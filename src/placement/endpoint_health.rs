//! The health of an endpoint, from the outcomes of the attempts of this VM.

use std::time::Duration;

use super::AttemptOutcome;
use super::Ewma;
use crate::clock::Monotonic;

/// The weight of one attempt in the failure rate: about the last ten count.
const ATTEMPT_WEIGHT: f64 = 0.1;

/// The backoff after the first failure to reach an endpoint; it doubles with each further one.
const BACKOFF_FIRST: Duration = Duration::from_millis(300);

/// The longest backoff: a crashed endpoint restarts within seconds.
const BACKOFF_MAX: Duration = Duration::from_millis(2_400);

/// The most doublings of the first backoff.
const DOUBLINGS_MAX: u32 = 3;

/// The backoff after a refusal: about the time until a slot becomes free.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(60);

/// The backoff after a silence: a sound endpoint that fell silent goes on within about a second.
const SILENCE_BACKOFF: Duration = Duration::from_millis(1_000);

/// The lowest success rate that is assumed, so that a failing endpoint is tried again.
const SUCCESS_RATE_MIN: f64 = 0.1;

/// The health of an endpoint: unreachable endpoints are left out for a backoff, those that refuse or
/// are silent only if there are others, and the expected
/// time of failing ones is multiplied by the attempts that a success takes.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointHealth {
    failure_rate: Ewma,
    unreachable_count: u32,
    backoff_until: Option<Monotonic>,
    avoided_until: Option<Monotonic>,
}

impl EndpointHealth {
    pub(super) fn record_outcome(&mut self, now: Monotonic, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Answered { .. } => {
                self.unreachable_count = 0;
                self.backoff_until = None;
                self.avoided_until = None;
                self.failure_rate.add(0.0, ATTEMPT_WEIGHT);
            }
            AttemptOutcome::Refused => {
                self.avoided_until = self.avoided_until.max(Some(now + REFUSAL_BACKOFF));
            }
            AttemptOutcome::Silent => {
                self.avoided_until = self.avoided_until.max(Some(now + SILENCE_BACKOFF));
                self.failure_rate.add(1.0, ATTEMPT_WEIGHT);
            }
            AttemptOutcome::Failed => self.failure_rate.add(1.0, ATTEMPT_WEIGHT),
            // Attempts that were on their way when the backoff began tell nothing new.
            AttemptOutcome::Unreachable | AttemptOutcome::ConnectionRefused
                if self.is_unreachable(now) =>
            {
                self.failure_rate.add(1.0, ATTEMPT_WEIGHT);
            }
            AttemptOutcome::Unreachable | AttemptOutcome::ConnectionRefused => {
                let doublings = self.unreachable_count.min(DOUBLINGS_MAX);
                let backoff = (BACKOFF_FIRST * (1 << doublings)).min(BACKOFF_MAX);
                self.unreachable_count += 1;
                self.backoff_until = Some(now + backoff);
                self.failure_rate.add(1.0, ATTEMPT_WEIGHT);
            }
        }
    }

    /// Returns the remaining backoff; `accepts_avoided` leaves out those after a refusal or a silence.
    pub(super) fn backoff(&self, now: Monotonic, accepts_avoided: bool) -> Option<Duration> {
        let avoided_until = self.avoided_until.filter(|_| !accepts_avoided);
        self.backoff_until
            .max(avoided_until)
            .filter(|until| now < *until)
            .map(|until| until.since(now))
    }

    /// Returns whether the endpoint could not be reached, and is not to be tried yet.
    pub(super) fn is_unreachable(&self, now: Monotonic) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Ends the backoff.
    pub(super) fn forget_unreachable(&mut self) {
        self.unreachable_count = 0;
        self.backoff_until = None;
    }

    /// Returns the expected number of attempts for one success.
    pub(super) fn attempts_per_success(&self) -> f64 {
        let failure_rate = self.failure_rate.mean().unwrap_or(0.0);
        1.0 / (1.0 - failure_rate).max(SUCCESS_RATE_MIN)
    }
}
