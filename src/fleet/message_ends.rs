//! The ends of endpoints' processes, in a gossip message.

use std::time::Duration;

use crate::clock::Monotonic;
use crate::placement::ProcessEnd;
use crate::placement::ProcessSighting;
use crate::quarantine::InstanceHash;

/// A [`ProcessEnd`] of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointEnd {
    /// The instance of the endpoint, by its record.
    pub endpoint: InstanceHash,
    /// The end.
    pub end: ProcessEnd,
}

/// An [`EndpointEnd`] with ages instead of times, as the clocks of two VMs differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageEnd {
    /// The instance of the endpoint, by its record.
    pub endpoint: InstanceHash,
    /// The time from the end to the sending of the message.
    pub ended_age: Duration,
    /// Whether a connection was refused.
    pub is_certain: bool,
    /// The time from when a process was first seen after it to the sending; `None` if it wasn't.
    pub returned_age: Option<Duration>,
}

impl MessageEnd {
    /// Converts times into ages as of `now`.
    pub fn new(end: EndpointEnd, now: Monotonic) -> Self {
        Self {
            endpoint: end.endpoint,
            ended_age: now.since(end.end.at),
            is_certain: end.end.is_certain,
            returned_age: end.end.returned_at.map(|at| now.since(at)),
        }
    }

    /// Converts ages into times of the receiver's clock, by which the message was sent at `sent_at`.
    pub fn received(self, sent_at: Monotonic) -> EndpointEnd {
        EndpointEnd {
            endpoint: self.endpoint,
            end: ProcessEnd {
                at: sent_at.before(self.ended_age),
                is_certain: self.is_certain,
                returned_at: self.returned_age.map(|age| sent_at.before(age)),
            },
        }
    }
}

/// A [`ProcessSighting`] of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointSighting {
    /// The instance of the endpoint, by its record.
    pub endpoint: InstanceHash,
    /// The sighting.
    pub sighting: ProcessSighting,
}

/// An [`EndpointSighting`] with ages instead of times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageProcess {
    /// The instance of the endpoint, by its record.
    pub endpoint: InstanceHash,
    /// The time from its first sighting to the sending of the message.
    pub since_age: Duration,
    /// The time from its last sighting to the sending.
    pub seen_age: Duration,
}

impl MessageProcess {
    /// Converts times into ages as of `now`.
    pub fn new(seen: EndpointSighting, now: Monotonic) -> Self {
        Self {
            endpoint: seen.endpoint,
            since_age: now.since(seen.sighting.since),
            seen_age: now.since(seen.sighting.seen_at),
        }
    }

    /// Converts ages into times of the receiver's clock.
    ///
    /// `asked_at` is when the receiver sent the request that the message answers: counted back from it, the
    /// last sighting is never too late. The first one is never too early, counted back from `now`.
    pub fn received(self, now: Monotonic, asked_at: Monotonic) -> EndpointSighting {
        EndpointSighting {
            endpoint: self.endpoint,
            sighting: ProcessSighting {
                since: now.before(self.since_age),
                seen_at: asked_at.before(self.seen_age),
            },
        }
    }
}
