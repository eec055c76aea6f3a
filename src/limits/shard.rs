//! Shards: groups of client accounts that share one lease.

use xxhash_rust::xxh3::xxh3_64;

use crate::catalog::Name;

/// The number of shards of each region.
pub const SHARD_COUNT: u8 = 64;

/// A group of client accounts that share one lease; the hash of an account's name selects its shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(u8);

impl Shard {
    /// Returns the shard of an account.
    pub fn of_account(name: &Name) -> Self {
        let hash = xxh3_64(name.as_str().as_bytes());
        Self((hash % u64::from(SHARD_COUNT)) as u8)
    }

    /// Returns all shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARD_COUNT).map(Self)
    }

    /// Returns the index of the shard, less than [`SHARD_COUNT`].
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Returns the key by which rendezvous hashing ranks the VMs of a region for the shard.
    pub fn rendezvous_key(self) -> u64 {
        xxh3_64(&[b's', b'h', b'a', b'r', b'd', self.0])
    }
}

/// A set of shards, one bit each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ShardSet(pub u64);

impl ShardSet {
    /// Returns whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns whether the set contains `shard`.
    pub fn contains(self, shard: Shard) -> bool {
        self.0 & (1 << shard.0) != 0
    }

    /// Adds `shard`.
    pub fn insert(&mut self, shard: Shard) {
        self.0 |= 1 << shard.0;
    }

    /// Returns the shards of this set that are not in `other`.
    #[must_use]
    pub fn without(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    /// Returns the shards of the set in ascending order.
    pub fn iter(self) -> impl Iterator<Item = Shard> {
        Shard::all().filter(move |shard| self.contains(*shard))
    }
}

impl FromIterator<Shard> for ShardSet {
    fn from_iter<I: IntoIterator<Item = Shard>>(shards: I) -> Self {
        let mut set = Self::default();
        for shard in shards {
            set.insert(shard);
        }
        set
    }
}
