//! The rates that endpoints named, in a gossip message.

use std::time::Duration;

use crate::clock::Monotonic;
use crate::placement::RateObservation;
use crate::quarantine::EventTime;
use crate::quarantine::InstanceHash;

/// A [`RateObservation`] of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointRate {
    /// The instance of the endpoint.
    pub endpoint: InstanceHash,
    /// What VMs observed.
    pub observation: RateObservation,
}

/// An [`EndpointRate`] with ages instead of times, as the clocks of two VMs differ.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MessageRate {
    /// The instance of the endpoint.
    pub endpoint: InstanceHash,
    /// The requests per second.
    pub rate_per_s: f64,
    /// The time from the newest answer that named the rate to the sending of the message.
    pub named_age: Duration,
    /// The time from the newest answer that named none to the sending; `None` if there was none.
    pub unlimited_age: Option<Duration>,
}

impl MessageRate {
    /// Converts times into ages as of `now`.
    pub fn new(rate: EndpointRate, now: Monotonic) -> Self {
        let observation = rate.observation;
        Self {
            endpoint: rate.endpoint,
            rate_per_s: observation.rate_per_s,
            named_age: observation.named_at.age(now),
            unlimited_age: observation.unlimited_at.map(|at| at.age(now)),
        }
    }

    /// Converts ages into times of the receiver's clock, which are late by the time in transit.
    pub fn received(self, now: Monotonic) -> EndpointRate {
        EndpointRate {
            endpoint: self.endpoint,
            observation: RateObservation {
                rate_per_s: self.rate_per_s,
                named_at: EventTime::before(now, self.named_age),
                unlimited_at: self.unlimited_age.map(|age| EventTime::before(now, age)),
            },
        }
    }
}
