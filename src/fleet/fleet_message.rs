//! The gossip datagram, a request or a reply.

use std::time::Duration;

use super::MessageCrashes;
use super::MessageEnd;
use super::MessageProcess;
use super::MessageRate;
use super::MessageVersions;
use super::VmRow;
use crate::belief::BeliefDigest;
use crate::clock::Monotonic;
use crate::deployment::EndpointListing;
use crate::deployment::ListingVersion;

/// A [`BeliefDigest`] with ages instead of times, as the clocks of two VMs differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageDigest {
    /// The version of the configuration; zero for none.
    pub configuration_version: u64,
    /// The time from its confirmation to the sending; `None` if it was never confirmed.
    pub configuration_age: Option<Duration>,
    /// The version of the listing.
    pub listing_version: ListingVersion,
    /// The hash of its content.
    pub listing_hash: u64,
    /// The time from its confirmation to the sending; `None` if it was never confirmed.
    pub listing_age: Option<Duration>,
}

impl MessageDigest {
    /// Converts times into ages as of `now`.
    pub fn new(digest: &BeliefDigest, now: Monotonic) -> Self {
        Self {
            configuration_version: digest.configuration_version,
            configuration_age: digest.configuration_confirmed_at.map(|at| now.since(at)),
            listing_version: digest.listing_version,
            listing_hash: digest.listing_hash,
            listing_age: digest.listing_confirmed_at.map(|at| now.since(at)),
        }
    }

    /// Converts ages into times of the receiver's clock.
    ///
    /// `request_sent_at` is when the receiver sent the request that this message replies to. The
    /// reply was sent later, so a time counted back from it is never too late, even if the message
    /// was delivered late. Without a request the digest confirms nothing.
    pub fn received(&self, request_sent_at: Option<Monotonic>) -> BeliefDigest {
        let before = |age: Option<Duration>| {
            let age_us = u64::try_from(age?.as_micros()).ok()?;
            let at_us = request_sent_at?.as_us().checked_sub(age_us)?;
            Some(Monotonic::from_us(at_us))
        };
        BeliefDigest {
            configuration_version: self.configuration_version,
            configuration_confirmed_at: before(self.configuration_age),
            listing_version: self.listing_version,
            listing_hash: self.listing_hash,
            listing_confirmed_at: before(self.listing_age),
        }
    }
}

/// The gossip datagram, a request or a reply.
#[derive(Clone, Debug)]
pub struct FleetMessage {
    /// When the message was sent, by the sender's clock.
    pub sent_at: Monotonic,
    /// The `sent_at` of the request that the message replies to; `None` in a request.
    pub request_sent_at: Option<Monotonic>,
    /// The versions and confirmation ages of the sender's configuration and listing.
    pub digest: MessageDigest,
    /// Status rows of VMs; the first one is the sender's.
    pub rows: Vec<VmRow>,
    /// The listing, in a reply to a VM that holds an older one.
    pub listing: Option<EndpointListing>,
    /// The crashes of endpoints that prompts may have caused.
    pub crashes: MessageCrashes,
    /// The rates that endpoints of the region named.
    pub rates: Vec<MessageRate>,
    /// The refusals for want of room that endpoints of the region named as the most that they bear.
    pub refusal_rates: Vec<MessageRate>,
    /// The software versions that were in use lately.
    pub versions: MessageVersions,
    /// The processes of endpoints of the region that may have ended.
    pub ends: Vec<MessageEnd>,
    /// What the sender has seen of the processes that may have ended by the message that this one replies to.
    pub processes: Vec<MessageProcess>,
}
