//! The rate that an endpoint names in its answers.

use std::time::Duration;

use crate::clock::Monotonic;
use crate::quarantine::EventTime;

/// How much later than the last answer that named the rate one without it ends the rate. What other
/// VMs observed is dated later than it was by its time in transit.
const END_DELAY: Duration = Duration::from_millis(500);

/// How much later an observation of another VM is if it is not the one that is held already. Times
/// shift with each VM that passes an observation on.
const TRANSIT_MAX: Duration = Duration::from_millis(200);

/// The lowest rate that is kept, so that the end of a rate can be observed.
const RATE_MIN_PER_S: f64 = 0.25;

/// The requests per second that an endpoint takes from all VMs together, as it named them last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateObservation {
    /// The requests per second.
    pub rate_per_s: f64,
    /// When the newest answer that named the rate arrived.
    pub named_at: EventTime,
    /// When the newest answer that named none arrived.
    pub unlimited_at: Option<EventTime>,
}

impl RateObservation {
    fn is_in_force(&self) -> bool {
        self.unlimited_at
            .is_none_or(|at| !at.is_later_by(END_DELAY, self.named_at))
    }
}

/// The rate of one endpoint: what answers to this VM said, and what other VMs observed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct NamedRate {
    observed: Option<RateObservation>,
}

impl NamedRate {
    /// Returns the rate that is in force, in requests per second.
    pub(super) fn in_force(&self) -> Option<f64> {
        let observed = self.observed.filter(RateObservation::is_in_force);
        observed.map(|observed| observed.rate_per_s.max(RATE_MIN_PER_S))
    }

    /// Records what an answer to this VM said; `None` if it named no rate.
    pub(super) fn on_answer(&mut self, now: Monotonic, rate_per_s: Option<f64>) {
        let now = EventTime::from(now);
        match (rate_per_s, &mut self.observed) {
            (Some(rate_per_s), observed) => {
                *observed = Some(RateObservation {
                    rate_per_s,
                    named_at: now,
                    unlimited_at: None,
                });
            }
            (None, Some(observed)) => observed.unlimited_at = Some(now),
            (None, None) => {}
        }
    }

    /// Adds what another VM observed; of each kind of answer the newest counts.
    pub(super) fn merge(&mut self, other: RateObservation) {
        let Some(held) = &mut self.observed else {
            self.observed = Some(other);
            return;
        };
        if other.named_at.is_later_by(TRANSIT_MAX, held.named_at) {
            held.rate_per_s = other.rate_per_s;
            held.named_at = other.named_at;
        }
        let is_later = |at: EventTime| {
            held.unlimited_at
                .is_none_or(|held| at.is_later_by(TRANSIT_MAX, held))
        };
        held.unlimited_at = other
            .unlimited_at
            .filter(|at| is_later(*at))
            .or(held.unlimited_at);
    }

    /// Returns what other VMs should know: also an end, as those that send nothing see none.
    pub(super) const fn observation(&self) -> Option<RateObservation> {
        self.observed
    }
}
