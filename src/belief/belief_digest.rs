//! The digest that VMs exchange to compare their configuration and listing.

use crate::clock::Monotonic;
use crate::deployment::ListingVersion;

/// Versions, hashes and confirmation times of a [`Belief`](super::Belief).
///
/// The times are by the clock of the VM that holds the digest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BeliefDigest {
    /// The version of the configuration; zero for none.
    pub configuration_version: u64,
    /// When the read that returned this version as the newest was sent.
    pub configuration_confirmed_at: Option<Monotonic>,
    /// The version of the listing.
    pub listing_version: ListingVersion,
    /// The hash of the listing's content.
    pub listing_hash: u64,
    /// When the read that returned this listing was sent.
    pub listing_confirmed_at: Option<Monotonic>,
}
