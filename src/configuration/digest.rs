//! Digests of the merged state, with which two VMs find the objects that differ.

use xxhash_rust::xxh3::xxh3_64;

use super::ObjectHash;
use super::Version;

/// The number of buckets that the objects are distributed over.
pub const BUCKET_COUNT: usize = 64;

/// The position of a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BucketIndex(u8);

/// The digests of all buckets: the two-level hash tree of Merkle (1987) with one inner node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreDigest {
    /// One digest per bucket, [`BUCKET_COUNT`] in all.
    pub buckets: Vec<u64>,
}

/// The digest of a whole state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RootDigest(pub u64);

/// The versions of all objects in one bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BucketVersions {
    /// The bucket.
    pub index: BucketIndex,
    /// The versions, in no particular order.
    pub versions: Vec<ObjectVersion>,
}

/// The version of one object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObjectVersion {
    /// The object.
    pub object: ObjectHash,
    /// Its version.
    pub version: Version,
}

impl BucketIndex {
    /// Returns the bucket of an object.
    pub const fn of(object: ObjectHash) -> Self {
        Self((object.0 % BUCKET_COUNT as u64) as u8)
    }

    /// Returns the bucket at a position, or `None` from [`BUCKET_COUNT`] on.
    pub fn new(position: u8) -> Option<Self> {
        (usize::from(position) < BUCKET_COUNT).then_some(Self(position))
    }

    /// Returns all buckets.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..BUCKET_COUNT as u8).map(Self)
    }

    /// Returns the position as an index.
    pub fn as_usize(self) -> usize {
        usize::from(self.0)
    }

    /// Returns the position.
    pub const fn as_u8(self) -> u8 {
        self.0
    }
}

impl StoreDigest {
    /// Returns the digest of the whole state.
    pub fn root(&self) -> RootDigest {
        let bytes: Vec<u8> = self
            .buckets
            .iter()
            .flat_map(|bucket| bucket.to_le_bytes())
            .collect();
        RootDigest(xxh3_64(&bytes))
    }

    /// Returns the buckets in which the two states differ.
    pub fn differing<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = BucketIndex> + 'a {
        BucketIndex::all().filter(|index| {
            let position = index.as_usize();
            self.buckets.get(position) != other.buckets.get(position)
        })
    }
}
