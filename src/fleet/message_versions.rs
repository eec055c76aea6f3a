//! The software versions that were in use lately, in a gossip message.

use std::time::Duration;

use super::NameHash;
use crate::clock::Monotonic;
use crate::deployment::SoftwareVersion;
use crate::quarantine::EventTime;
use crate::streams::VersionHistory;
use crate::streams::VersionSighting;

/// A [`VersionSighting`] with an age instead of a time, as the clocks of two VMs differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageSighting {
    /// The service.
    pub service: NameHash,
    /// The version; `None` if it is not known.
    pub version: Option<SoftwareVersion>,
    /// The time from its last use to the sending of the message.
    pub seen_age: Duration,
}

/// What a VM knows of the software versions that were in use lately.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MessageVersions {
    /// The time for which the sender knows each version that was in use; `None` if it may have missed
    /// some.
    pub complete_age: Option<Duration>,
    /// The versions.
    pub sightings: Vec<MessageSighting>,
}

impl MessageVersions {
    /// Converts times into ages as of `now`.
    pub fn new(history: &VersionHistory, now: Monotonic) -> Self {
        let sightings = history.sightings(now).into_iter();
        Self {
            complete_age: history.complete_since(now).map(|since| since.age(now)),
            sightings: sightings
                .map(|sighting| MessageSighting {
                    service: sighting.service,
                    version: sighting.version,
                    seen_age: sighting.seen_at.age(now),
                })
                .collect(),
        }
    }

    /// Adds them to what this VM knows; `asked_at` is when this VM sent the request that the message answers,
    /// if it does. Times of the receiver's clock are late by the time in transit, so that a version never
    /// seems to have left sooner than it did.
    pub fn merge_into(
        &self,
        history: &mut VersionHistory,
        now: Monotonic,
        asked_at: Option<Monotonic>,
    ) {
        let before = |age| EventTime::before(now, age);
        let sightings = self.sightings.iter().map(|sighting| VersionSighting {
            service: sighting.service,
            version: sighting.version,
            seen_at: before(sighting.seen_age),
        });
        history.merge(sightings, self.complete_age.map(before), asked_at);
    }
}
