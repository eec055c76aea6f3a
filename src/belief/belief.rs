//! The configuration and the endpoints that a VM goes by.

use std::rc::Rc;
use std::time::Duration;

use super::lapsed_records::LapsedRecords;
use super::BeliefDigest;
use super::Configuration;
use super::PeerUpdates;
use crate::clock::Monotonic;
use crate::deployment::Deployment;
use crate::deployment::EndpointListing;

/// The configuration and the endpoints that a VM goes by, each with the time it was confirmed.
///
/// Versions never go back: an older configuration than the one held is not taken from anyone. A
/// time of confirmation is when the linearizable read that showed the content was sent.
#[derive(Debug, Default)]
pub struct Belief {
    configuration: Option<Configuration>,
    configuration_confirmed_at: Option<Monotonic>,
    listing: Rc<EndpointListing>,
    listing_revision: u64,
    listing_hash: u64,
    listing_confirmed_at: Option<Monotonic>,
    lapsed_records: LapsedRecords,
}

impl Belief {
    /// Returns the configuration.
    pub fn deployment(&self) -> Option<&Rc<Deployment>> {
        self.configuration
            .as_ref()
            .map(|configuration| &configuration.deployment)
    }

    /// Returns the configuration with its published form.
    pub const fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Returns the endpoints and evacuated zones.
    pub const fn listing(&self) -> &Rc<EndpointListing> {
        &self.listing
    }

    /// Returns the version of the configuration, zero for none.
    pub fn version(&self) -> u64 {
        self.deployment()
            .map_or(0, |deployment| deployment.version())
    }

    /// Returns the age of the configuration, or `None` if there is none.
    pub fn configuration_age(&self, now: Monotonic) -> Option<Duration> {
        self.configuration_confirmed_at.map(|at| now.since(at))
    }

    /// Returns the older one of the times at which configuration and listing were confirmed.
    pub fn confirmed_at(&self) -> Option<Monotonic> {
        match (self.configuration_confirmed_at, self.listing_confirmed_at) {
            (Some(configuration), Some(listing)) => Some(configuration.min(listing)),
            _ => None,
        }
    }

    /// Returns whether the VM knows enough to serve.
    pub fn is_complete(&self) -> bool {
        self.configuration.is_some() && self.listing_confirmed_at.is_some()
    }

    /// Takes a configuration over; returns whether it is newer than the one held.
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
            // What confirmed an older version says nothing of this one.
            self.configuration_confirmed_at = confirmed_at;
        } else {
            self.configuration_confirmed_at = self.configuration_confirmed_at.max(confirmed_at);
        }
        is_newer
    }

    /// Takes over what a read of the store showed; returns whether the listing changed.
    pub fn apply_store_listing(
        &mut self,
        now: Monotonic,
        sent_at: Monotonic,
        revision: u64,
        mut listing: EndpointListing,
    ) -> bool {
        if revision < self.listing_revision {
            return false;
        }
        let previous = self.listing_confirmed_at;
        self.lapsed_records
            .restore(now, &self.listing, &mut listing, previous);
        self.set_listing(sent_at, revision, listing)
    }

    /// Takes over the listing of a peer; returns whether the listing changed.
    pub fn apply_peer_listing(
        &mut self,
        confirmed_at: Monotonic,
        revision: u64,
        listing: EndpointListing,
    ) -> bool {
        if revision <= self.listing_revision && self.listing_confirmed_at.is_some() {
            return false;
        }
        self.set_listing(confirmed_at, revision, listing)
    }

    fn set_listing(
        &mut self,
        confirmed_at: Monotonic,
        revision: u64,
        listing: EndpointListing,
    ) -> bool {
        let hash = listing.content_hash();
        let is_changed = hash != self.listing_hash || self.listing_confirmed_at.is_none();
        self.listing = Rc::new(listing);
        self.listing_hash = hash;
        self.listing_revision = revision;
        self.listing_confirmed_at = self.listing_confirmed_at.max(Some(confirmed_at));
        is_changed
    }

    /// Compares a peer's digest with the own belief; equal content is confirmed by it.
    pub fn compare(&mut self, digest: &BeliefDigest) -> PeerUpdates {
        let held = self.version();
        if digest.configuration_version == held && held > 0 {
            self.configuration_confirmed_at = self
                .configuration_confirmed_at
                .max(digest.configuration_confirmed_at);
        }
        let has_equal_listing = digest.listing_hash == self.listing_hash;
        if has_equal_listing && self.listing_confirmed_at.is_some() {
            self.listing_revision = self.listing_revision.max(digest.listing_revision);
            self.listing_confirmed_at = self.listing_confirmed_at.max(digest.listing_confirmed_at);
        }
        PeerUpdates {
            has_newer_configuration: digest.configuration_version > held,
            has_newer_listing: !has_equal_listing
                && digest.listing_revision > self.listing_revision,
        }
    }

    /// Returns the summary for peers.
    pub fn digest(&self) -> BeliefDigest {
        BeliefDigest {
            configuration_version: self.version(),
            configuration_confirmed_at: self.configuration_confirmed_at,
            listing_revision: self.listing_revision,
            listing_hash: self.listing_hash,
            listing_confirmed_at: self.listing_confirmed_at,
        }
    }
}
