//! The version of an endpoint listing.

/// The version of an endpoint listing: the revision of the store at which it was read, and the era
/// of the store in which that revision was assigned.
///
/// A store that is restored from a backup assigns revisions a second time, so revisions are
/// comparable within one era only. A version of a later era is newer whatever its revision is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListingVersion {
    /// The number of the era; zero if the store does not report one.
    pub era: u64,
    /// The revision within the era.
    pub revision: u64,
}
