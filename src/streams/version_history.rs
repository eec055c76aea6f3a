//! The software versions of each service that were in use lately.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Monotonic;
use crate::deployment::EndpointListing;
use crate::deployment::SoftwareVersion;
use crate::fleet::NameHash;
use crate::quarantine::EventTime;

/// The longest gap between two confirmations of the listing in which no version can have come and gone.
const CONFIRMATION_GAP_MAX: Duration = Duration::from_millis(2_500);

/// How long versions are remembered after the last endpoint with one has left.
const MEMORY: Duration = Duration::from_secs(120);

/// A software version of a service, and when it was last in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionSighting {
    /// The service.
    pub service: NameHash,
    /// The version; `None` if an endpoint's version is not known.
    pub version: Option<SoftwareVersion>,
    /// When an endpoint with it was listed last.
    pub seen_at: EventTime,
}

type VersionOfService = (NameHash, Option<SoftwareVersion>);

/// The software versions of each service that were in use lately, as seen by this VM and those that it
/// hears of.
#[derive(Debug, Default)]
pub struct VersionHistory {
    listed: BTreeSet<VersionOfService>,
    seen_at: BTreeMap<VersionOfService, EventTime>,
    /// Since when each version that was in use is known.
    complete_since: Option<EventTime>,
    confirmed_at: Option<Monotonic>,
}

impl VersionHistory {
    /// Applies a listing, whose versions count as in use until the next one.
    pub fn update(&mut self, now: Monotonic, listing: &EndpointListing) {
        self.mark_listed(now);
        let endpoints = listing.endpoints.iter();
        self.listed = endpoints
            .map(|endpoint| (NameHash::from(&endpoint.service), endpoint.version))
            .collect();
        self.mark_listed(now);
        self.seen_at.retain(|_, seen_at| seen_at.age(now) <= MEMORY);
    }

    fn mark_listed(&mut self, now: Monotonic) {
        for version in &self.listed {
            self.seen_at.insert(*version, EventTime::from(now));
        }
    }

    /// Records when the present listing was confirmed. After a gap, versions may be missing.
    pub fn on_confirmed(&mut self, confirmed_at: Monotonic) {
        let has_gap = self
            .confirmed_at
            .is_none_or(|previous| confirmed_at.since(previous) > CONFIRMATION_GAP_MAX);
        if has_gap {
            self.complete_since = Some(EventTime::from(confirmed_at));
        }
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
    }

    /// Returns since when each version that was in use is known; `None` if the listing is not current.
    pub fn complete_since(&self, now: Monotonic) -> Option<EventTime> {
        let is_current = now.since(self.confirmed_at?) <= CONFIRMATION_GAP_MAX;
        self.complete_since.filter(|_| is_current)
    }

    /// Returns all versions that are or were in use.
    pub fn sightings(&self, now: Monotonic) -> Vec<VersionSighting> {
        let sightings = self.seen_at.iter();
        sightings
            .map(|((service, version), seen_at)| VersionSighting {
                service: *service,
                version: *version,
                seen_at: match self.listed.contains(&(*service, *version)) {
                    true => EventTime::from(now),
                    false => *seen_at,
                },
            })
            .collect()
    }

    /// Adds what another VM knows, which is complete since `complete_since`, if it is at all.
    ///
    /// `asked_at` is when this VM asked for it, if it did. A message that waited, as at a VM that stood still,
    /// ends before what this VM knows begins, and versions may have come and gone between.
    pub fn merge(
        &mut self,
        sightings: impl IntoIterator<Item = VersionSighting>,
        complete_since: Option<EventTime>,
        asked_at: Option<Monotonic>,
    ) {
        for sighting in sightings {
            let key = (sighting.service, sighting.version);
            let seen_at = self.seen_at.entry(key).or_insert(sighting.seen_at);
            *seen_at = (*seen_at).max(sighting.seen_at);
        }
        let asked_at = asked_at.map(EventTime::from);
        if let (Some(own), Some(other)) = (self.complete_since, complete_since) {
            if asked_at.is_some_and(|asked_at| asked_at >= own) {
                self.complete_since = Some(own.min(other));
            }
        }
    }

    /// Returns the only software version of a service that was in use for the whole `lifetime` before
    /// now; `None` if there were several, or there may have been.
    pub fn only_version(
        &self,
        now: Monotonic,
        service: NameHash,
        lifetime: Duration,
    ) -> Option<SoftwareVersion> {
        let is_complete = self.complete_since(now)?.age(now) >= lifetime;
        let first = (service, None);
        let of_service = self
            .seen_at
            .range(first..)
            .take_while(|((other, _), _)| *other == service);
        let mut lately = of_service.filter(|(version, seen_at)| {
            self.listed.contains(*version) || seen_at.age(now) <= lifetime
        });
        let ((_, version), _) = lately.next().filter(|_| is_complete)?;
        version.filter(|_| lately.next().is_none())
    }
}
