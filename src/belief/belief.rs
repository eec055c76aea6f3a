//! A VM's copy of the configuration and of the endpoint listing.

use std::rc::Rc;
use std::time::Duration;

use super::lapsed_records::LapsedRecords;
use super::restored_store::RestoredStore;
use super::BeliefDigest;
use super::Configuration;
use super::PeerUpdates;
use crate::clock::Monotonic;
use crate::deployment::Deployment;
use crate::deployment::EndpointListing;
use crate::deployment::ListingVersion;

/// A VM's copy of the configuration and of the endpoint listing, each with the time it was last
/// confirmed as current.
///
/// The configuration version never decreases: an older one is ignored, whatever its source. A
/// confirmation time is when the linearizable read that returned the content was sent.
///
/// The version of the listing decreases in no era of the store. When the store was restored from a
/// backup, the listing of the new era is taken, corrected by what is known from before.
#[derive(Debug, Default)]
pub struct Belief {
    configuration: Option<Configuration>,
    configuration_confirmed_at: Option<Monotonic>,
    listing: Rc<EndpointListing>,
    listing_version: ListingVersion,
    listing_hash: u64,
    listing_confirmed_at: Option<Monotonic>,
    lapsed_records: LapsedRecords,
    restored_store: RestoredStore,
}

impl Belief {
    /// Returns the decoded configuration, or `None` before the first one arrived.
    pub fn deployment(&self) -> Option<&Rc<Deployment>> {
        self.configuration
            .as_ref()
            .map(|configuration| &configuration.deployment)
    }

    /// Returns the configuration with its encoded form.
    pub const fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Returns the endpoints and evacuated zones; empty before the first read.
    pub const fn listing(&self) -> &Rc<EndpointListing> {
        &self.listing
    }

    /// Returns the version of the configuration, zero for none.
    pub fn version(&self) -> u64 {
        self.deployment()
            .map_or(0, |deployment| deployment.version())
    }

    /// Returns the time since the configuration was confirmed, or `None` if it never was.
    pub fn configuration_age(&self, now: Monotonic) -> Option<Duration> {
        self.configuration_confirmed_at.map(|at| now.since(at))
    }

    /// Returns when the listing was confirmed; `None` if it never was.
    pub const fn listing_confirmed_at(&self) -> Option<Monotonic> {
        self.listing_confirmed_at
    }

    /// Returns the time since the listing was confirmed, in milliseconds; the largest number if it
    /// never was.
    pub fn listing_age_ms(&self, now: Monotonic) -> u64 {
        let age = self.listing_confirmed_at.map(|at| now.since(at));
        age.and_then(|age| u64::try_from(age.as_millis()).ok())
            .unwrap_or(u64::MAX)
    }

    /// Returns the earlier of the confirmation times of the configuration and the listing.
    ///
    /// `None` if either was never confirmed.
    pub fn confirmed_at(&self) -> Option<Monotonic> {
        match (self.configuration_confirmed_at, self.listing_confirmed_at) {
            (Some(configuration), Some(listing)) => Some(configuration.min(listing)),
            _ => None,
        }
    }

    /// Returns whether both a configuration and a confirmed listing are held, so the VM can serve.
    pub fn is_complete(&self) -> bool {
        self.configuration.is_some() && self.listing_confirmed_at.is_some()
    }

    /// Stores a configuration unless it is older; returns whether it is newer than the one held.
    ///
    /// `confirmed_at` is `None` if it is not known to be the newest.
    pub fn apply_configuration(
        &mut self,
        configuration: Configuration,
        confirmed_at: Option<Monotonic>,
    ) -> bool {
        let version = configuration.deployment.version();
        let held = self.version();
        if version < held {
            return false;
        }
        let is_newer = self.configuration.is_none() || version > held;
        if is_newer {
            self.configuration = Some(configuration);
        }
        // A newer version may be among the writes that a restored store has lost.
        let confirmed_at =
            confirmed_at.filter(|at| is_newer || !self.restored_store.is_settling(*at));
        // A time at which an older version was the newest also bounds the age of this one: whatever
        // was published before it is part of this version.
        self.configuration_confirmed_at = self.configuration_confirmed_at.max(confirmed_at);
        is_newer
    }

    /// Returns the version of the listing.
    pub const fn listing_version(&self) -> ListingVersion {
        self.listing_version
    }

    /// Returns the version of content that the store returned: without an era, that of the held
    /// listing is assumed.
    pub const fn store_version(&self, era: Option<u64>, revision: u64) -> ListingVersion {
        let era = match era {
            Some(era) => era,
            None => self.listing_version.era,
        };
        ListingVersion { era, revision }
    }

    /// Records the era of the store; returns whether the store was restored since the held listing
    /// was read.
    ///
    /// It is called before content of that era is applied.
    pub fn on_era(&mut self, now: Monotonic, era: u64) -> bool {
        let is_restored = self.listing_confirmed_at.is_some() && era > self.listing_version.era;
        if is_restored {
            self.restored_store.on_restored(now, &self.listing);
            self.lapsed_records.hold_ready(now, &self.listing);
            // Any revision of the new era is newer.
            self.listing_version = ListingVersion { era, revision: 0 };
        }
        is_restored
    }

    /// Stores the listing from a read of the store, unless its version is lower than the held one;
    /// returns whether the content changed.
    ///
    /// Records that may only have lapsed during a store outage are added to it.
    pub fn apply_store_listing(
        &mut self,
        now: Monotonic,
        sent_at: Monotonic,
        version: ListingVersion,
        listing: EndpointListing,
    ) -> bool {
        self.on_era(now, version.era);
        if version < self.listing_version {
            return false;
        }
        if LapsedRecords::may_have_lapsed(now, self.listing_confirmed_at) {
            self.lapsed_records.hold_ready(now, &self.listing);
        }
        self.set_listing(now, sent_at, version, listing)
    }

    /// Stores the listing of a peer if its version is higher or none is held; returns whether the
    /// content changed.
    pub fn apply_peer_listing(
        &mut self,
        now: Monotonic,
        confirmed_at: Monotonic,
        version: ListingVersion,
        listing: EndpointListing,
    ) -> bool {
        if version <= self.listing_version && self.listing_confirmed_at.is_some() {
            return false;
        }
        self.on_era(now, version.era);
        self.set_listing(now, confirmed_at, version, listing)
    }

    fn set_listing(
        &mut self,
        now: Monotonic,
        confirmed_at: Monotonic,
        version: ListingVersion,
        mut listing: EndpointListing,
    ) -> bool {
        self.restored_store.correct(now, version.era, &mut listing);
        self.lapsed_records.restore(now, &mut listing);
        self.restored_store
            .observe(now, version, &self.listing, &listing);
        let hash = listing.content_hash();
        let is_changed = hash != self.listing_hash || self.listing_confirmed_at.is_none();
        self.listing = Rc::new(listing);
        self.listing_hash = hash;
        self.listing_version = version;
        self.listing_confirmed_at = self.listing_confirmed_at.max(Some(confirmed_at));
        is_changed
    }

    /// Compares a peer's digest with the local content; where the content is equal, the later one
    /// of the confirmation times is kept.
    pub fn compare(&mut self, now: Monotonic, digest: &BeliefDigest) -> PeerUpdates {
        self.on_era(now, digest.listing_version.era);
        let held = self.version();
        if digest.configuration_version == held && held > 0 {
            self.configuration_confirmed_at = self
                .configuration_confirmed_at
                .max(digest.configuration_confirmed_at);
        }
        let has_equal_listing = digest.listing_hash == self.listing_hash;
        if has_equal_listing && self.listing_confirmed_at.is_some() {
            self.listing_version = self.listing_version.max(digest.listing_version);
            self.listing_confirmed_at = self.listing_confirmed_at.max(digest.listing_confirmed_at);
        }
        PeerUpdates {
            has_newer_configuration: digest.configuration_version > held,
            has_newer_listing: !has_equal_listing && digest.listing_version > self.listing_version,
        }
    }

    /// Returns the digest that is sent to peers.
    pub fn digest(&self) -> BeliefDigest {
        BeliefDigest {
            configuration_version: self.version(),
            configuration_confirmed_at: self.configuration_confirmed_at,
            listing_version: self.listing_version,
            listing_hash: self.listing_hash,
            listing_confirmed_at: self.listing_confirmed_at,
        }
    }
}
