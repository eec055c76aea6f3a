//! The datagram that two VMs exchange.

use std::time::Duration;

use super::VmRow;
use crate::belief::BeliefDigest;
use crate::clock::Monotonic;
use crate::deployment::EndpointListing;

/// The digest of a belief with ages in place of times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageDigest {
    /// The version of the configuration; zero for none.
    pub configuration_version: u64,
    /// The age of its confirmation, as of the sending.
    pub configuration_age: Option<Duration>,
    /// The revision of the listing.
    pub listing_revision: u64,
    /// The hash of its content.
    pub listing_hash: u64,
    /// The age of its confirmation, as of the sending.
    pub listing_age: Option<Duration>,
}

impl MessageDigest {
    /// Turns times into ages.
    pub fn new(digest: &BeliefDigest, now: Monotonic) -> Self {
        Self {
            configuration_version: digest.configuration_version,
            configuration_age: digest.configuration_confirmed_at.map(|at| now.since(at)),
            listing_revision: digest.listing_revision,
            listing_hash: digest.listing_hash,
            listing_age: digest.listing_confirmed_at.map(|at| now.since(at)),
        }
    }

    /// Turns ages into times by the receiver's clock.
    ///
    /// `asked_at` is when the question was sent that the message answers. The answer was sent
    /// later, so a time counted from `asked_at` is never too late, also if the message was
    /// delivered late. Without a question the digest confirms nothing.
    pub fn received(&self, asked_at: Option<Monotonic>) -> BeliefDigest {
        let before = |age: Option<Duration>| {
            let age_us = u64::try_from(age?.as_micros()).ok()?;
            let at_us = asked_at?.as_us().checked_sub(age_us)?;
            Some(Monotonic::from_us(at_us))
        };
        BeliefDigest {
            configuration_version: self.configuration_version,
            configuration_confirmed_at: before(self.configuration_age),
            listing_revision: self.listing_revision,
            listing_hash: self.listing_hash,
            listing_confirmed_at: before(self.listing_age),
        }
    }
}

/// The datagram that two VMs exchange.
#[derive(Clone, Debug)]
pub struct FleetMessage {
    /// The sender's clock.
    pub sent_at: Monotonic,
    /// The receiver's clock in the question that the message answers; `None` in a question.
    pub asked_at: Option<Monotonic>,
    /// What the sender believes.
    pub digest: MessageDigest,
    /// Rows of VMs; the first one is the sender's.
    pub rows: Vec<VmRow>,
    /// The listing, in an answer to a VM that holds an older one.
    pub listing: Option<EndpointListing>,
}
